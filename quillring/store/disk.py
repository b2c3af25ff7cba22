"""The data folder of a store: files written at once, in steps or by appends, with syncs."""

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
        """Make the bytes appended last durable."""

    def sync_existing(self, name: str) -> None:
        """Sync a file and the folder, since a killed process may have left either unsynced."""

    def sync_delay_seconds(self) -> float:
        """Return the delay in seconds that a sync adds to the call itself (simulated disks)."""


class FolderDisk:
    """A Disk on the file system: files in one data folder; raises DiskError for any OSError.

    Owns at most two open files: the log that was appended to last, and the one written in steps.
    """

    __slots__ = ("folder", "log_file", "log_name", "staged_file")

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.log_file: FileIO | None = None
        self.log_name: str | None = None
        self.staged_file: FileIO | None = None
        try:
            make_folder(os.path.abspath(folder))
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
            if self.staged_file is not None:
                self.staged_file.close()
            self.staged_file = open(self._path(name), "wb", buffering=0)
            _write_and_sync(self.staged_file, name, header)
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def extend_file(self, name: str, data: bytes) -> None:
        """Append to the file begun last by begin_file(), and sync it."""
        try:
            _write_and_sync(_opened(self.staged_file, name), name, data)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def finish_file(self, name: str, header: bytes) -> None:
        """Write the header of the file begun last by begin_file(), sync and close it."""
        try:
            staged_file = _opened(self.staged_file, name)
            staged_file.seek(0)
            _write_and_sync(staged_file, name, header)
            staged_file.close()
            self.staged_file = None
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
        """Make the bytes appended last durable."""
        try:
            os.fsync(_opened(self.log_file, name).fileno())
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def sync_existing(self, name: str) -> None:
        """Sync a file and the folder, since a killed process may have left either unsynced."""
        try:
            sync_path(self._path(name))
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def sync_delay_seconds(self) -> float:
        """Return 0: a real sync blocks for as long as it takes."""
        return 0


def _opened(file: FileIO | None, name: str) -> FileIO:
    """Return the open file; raises DiskError when it is None."""
    if file is None:
        raise DiskError(file=name, reason="the file is not open")
    return file


def _write_and_sync(file: FileIO, name: str, data: bytes) -> None:
    if file.write(data) != len(data):
        raise DiskError(file=name, reason="short write")
    os.fsync(file.fileno())


def make_folder(path: str) -> None:
    """Make a folder and its missing parents durably, by a sync of each parent folder."""
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    make_folder(parent)
    os.makedirs(path, exist_ok=True)
    sync_path(parent)


def sync_path(path: str) -> None:
    """Sync a file, or a folder's directory entries; raises OSError when that fails."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
