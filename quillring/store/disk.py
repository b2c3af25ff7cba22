"""The data folder: whole files and appended ones, lasting only once synced."""

import os

from quillring.kernel.errors import DiskError


class FolderDisk:
    """Files under one data folder."""

    __slots__ = ("folder", "log_file", "log_name", "slot_file")

    def __init__(self, folder):
        self.folder = folder
        self.log_file = None
        self.log_name = None
        self.slot_file = None
        try:
            make_folder(os.path.abspath(folder))
        except OSError as error:
            raise DiskError(folder=folder, reason=error.strerror) from error

    def _path(self, name):
        return os.path.join(self.folder, name)

    def read(self, name):
        """Return the bytes of a file, or None."""
        try:
            with open(self._path(name), "rb") as read_file:
                return read_file.read()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def write(self, name, data):
        """Write a whole file anew and sync it and the folder."""
        try:
            with open(self._path(name), "wb") as written_file:
                written_file.write(data)
                written_file.flush()
                os.fsync(written_file.fileno())
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def begin(self, name, head):
        """Begin a file anew that is written in steps; its head is written again at the end."""
        try:
            if self.slot_file is not None:
                self.slot_file.close()
            self.slot_file = open(self._path(name), "wb", buffering=0)
            self._extend(name, head)
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def extend(self, name, data):
        """Append to the file begun last and sync it."""
        try:
            self._extend(name, data)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def _extend(self, name, data):
        if self.slot_file.write(data) != len(data):
            raise DiskError(file=name, reason="short write")
        os.fsync(self.slot_file.fileno())

    def finish(self, name, head):
        """Write the head of the file begun last, sync and close it."""
        try:
            self.slot_file.seek(0)
            self._extend(name, head)
            self.slot_file.close()
            self.slot_file = None
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def append(self, name, data):
        """Append to a file; what it adds lasts only after sync."""
        try:
            if self.log_name != name:
                if self.log_file is not None:
                    self.log_file.close()
                self.log_file, self.log_name = open(self._path(name), "ab", buffering=0), name
            if self.log_file.write(data) != len(data):
                raise DiskError(file=name, reason="short write")
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def cut(self, name, size):
        """Cut a file back to a size, durably; one that is missing stays so."""
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

    def sync(self, name):
        """Make the appended bytes durable."""
        try:
            os.fsync(self.log_file.fileno())
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def settle(self, name):
        """Make durable what a killed process may have left unsynced in a file, and its name."""
        try:
            sync_path(self._path(name))
            sync_path(self.folder)
        except OSError as error:
            raise DiskError(file=name, reason=error.strerror) from error

    def pause(self):
        """Return the seconds a sync takes beyond the call itself: none here."""
        return 0


def make_folder(path):
    """Make a folder and those above it that are missing, each durable in the one above."""
    if os.path.isdir(path):
        return
    parent = os.path.dirname(path)
    make_folder(parent)
    os.makedirs(path, exist_ok=True)
    sync_path(parent)


def sync_path(path):
    """Make a file, or the names in a folder, durable; OSError when that fails."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
