"""The files in a store's data folder: written at once, in steps or by appending, and synced."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Protocol

from quillring.kernel.errors import DiskError

if TYPE_CHECKING:
    from io import FileIO


class Disk(Protocol):
    """The files of one store; every method may raise DiskError."""

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, or None if it does not exist."""

    def write(self, name: str, data: bytes) -> None:
        """Replace the contents of a file in place; sync it and the folder. Not atomic."""

    def begin_file(self, name: str, header: bytes) -> None:
        """Truncate or create a file to be written in steps; finish_file() replaces its header."""

    def extend_file(self, name: str, data: bytes) -> None:
        """Append to the file begun last by begin_file(), and sync it."""

    def finish_file(self, name: str, header: bytes) -> None:
        """Write the header of the file begun last by begin_file(), sync and close it."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; the data is durable only after sync()."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes, durably; do nothing if it does not exist."""

    def sync(self, name: str) -> None:
        """Make the appended bytes durable."""

    def sync_existing(self, name: str) -> None:
        """Sync a file and the folder; a killed process may have left either unsynced."""

    def sync_delay_seconds(self) -> float:
        """Return the simulated duration of a sync in seconds, for which the caller has to wait."""


class FolderDisk:
    """A Disk in one folder of the file system; raises DiskError for any OSError.

    Has at most two files open: the log that was appended to last, and the file written in steps.
    """

    __slots__ = ("folder", "log_file", "log_name", "stepwise_file")

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.log_file: FileIO | None = None
        self.log_name: str | None = None
        self.stepwise_file: FileIO | None = None
        try:
            create_folder(os.path.abspath(folder))
        except OSError as error:
            raise DiskError(folder=folder, reason=error.strerror) from error

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def read(self, name: str) -> bytes | None:
        """Return the bytes of a file, or None if it does not exist."""
        try:
            with open(self._path(name), "rb") as read_file:
                return read_file.read()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def write(self, name: str, data: bytes) -> None:
        """Replace the contents of a file in place; sync it and the folder. Not atomic."""
        try:
            with open(self._path(name), "wb") as written_file:
                written_file.write(data)
                written_file.flush()
                os.fsync(written_file.fileno())
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def begin_file(self, name: str, header: bytes) -> None:
        """Truncate or create a file to be written in steps; finish_file() replaces its header."""
        try:
            if self.stepwise_file is not None:
                self.stepwise_file.close()
            self.stepwise_file = open(self._path(name), "wb", buffering=0)
            _write_and_sync(self.stepwise_file, name, header)
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def extend_file(self, name: str, data: bytes) -> None:
        """Append to the file begun last by begin_file(), and sync it."""
        try:
            _write_and_sync(_require_open(self.stepwise_file, name), name, data)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def finish_file(self, name: str, header: bytes) -> None:
        """Write the header of the file begun last by begin_file(), sync and close it."""
        try:
            stepwise_file = _require_open(self.stepwise_file, name)
            stepwise_file.seek(0)
            _write_and_sync(stepwise_file, name, header)
            stepwise_file.close()
            self.stepwise_file = None
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; the data is durable only after sync()."""
        try:
            if self.log_file is None or self.log_name != name:
                if self.log_file is not None:
                    self.log_file.close()
                self.log_file, self.log_name = open(self._path(name), "ab", buffering=0), name
            if self.log_file.write(data) != len(data):
                raise DiskError(file=name, reason="short write")
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes, durably; do nothing if it does not exist."""
        try:
            if self.log_name == name and self.log_file is not None:
                self.log_file.close()
                self.log_file, self.log_name = None, None
            os.truncate(self._path(name), size)
            sync_path(self._path(name))
        except FileNotFoundError:
            return
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def sync(self, name: str) -> None:
        """Make the appended bytes durable."""
        try:
            os.fsync(_require_open(self.log_file, name).fileno())
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def sync_existing(self, name: str) -> None:
        """Sync a file and the folder; a killed process may have left either unsynced."""
        try:
            sync_path(self._path(name))
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def sync_delay_seconds(self) -> float:
        """Return 0, since a real sync blocks until it is done."""
        return 0


def _require_open(file: FileIO | None, name: str) -> FileIO:
    """Return the file, or raise DiskError when it is None."""
    if file is None:
        raise DiskError(file=name, reason="the file is not open")
    return file


def _write_and_sync(file: FileIO, name: str, data: bytes) -> None:
    """Write all bytes and sync the file; raises DiskError if only some were written."""
    if file.write(data) != len(data):
        raise DiskError(file=name, reason="short write")
    os.fsync(file.fileno())


def create_folder(path: str) -> None:
    """Create a folder and its missing parents, and sync each parent folder."""
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    create_folder(parent)
    os.makedirs(path, exist_ok=True)
    sync_path(parent)


def sync_path(path: str) -> None:
    """Sync a file, or the entries of a folder; raises OSError."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
