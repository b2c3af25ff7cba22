"""The data folder: whole files and appended ones, lasting only once synced."""

import os

from quillring.kernel.troubles import DiskTrouble


class FolderDisk:
    """Files under one data folder."""

    __slots__ = ("folder", "logFile", "logName")

    def __init__(self, folder):
        self.folder = folder
        self.logFile = None
        self.logName = None
        try:
            os.makedirs(folder, exist_ok=True)
        except OSError as error:
            raise DiskTrouble(folder=folder, reason=error.strerror) from error

    def _path(self, name):
        return os.path.join(self.folder, name)

    def read(self, name):
        """Return the bytes of a file, or None."""
        try:
            with open(self._path(name), "rb") as readFile:
                return readFile.read()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise DiskTrouble(file=name, reason=error.strerror) from error

    def write(self, name, data):
        """Write a whole file anew and sync it and the folder."""
        try:
            with open(self._path(name), "wb") as writtenFile:
                writtenFile.write(data)
                writtenFile.flush()
                os.fsync(writtenFile.fileno())
            folderHandle = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(folderHandle)
            finally:
                os.close(folderHandle)
        except OSError as error:
            raise DiskTrouble(file=name, reason=error.strerror) from error

    def append(self, name, data):
        """Append to a file; what it adds lasts only after sync."""
        try:
            if self.logName != name:
                if self.logFile is not None:
                    self.logFile.close()
                self.logFile, self.logName = open(self._path(name), "ab", buffering=0), name
            if self.logFile.write(data) != len(data):
                raise DiskTrouble(file=name, reason="short write")
        except OSError as error:
            raise DiskTrouble(file=name, reason=error.strerror) from error

    def cut(self, name, size):
        """Cut a file back to a size."""
        try:
            if self.logName == name and self.logFile is not None:
                self.logFile.close()
                self.logFile, self.logName = None, None
            os.truncate(self._path(name), size)
        except OSError as error:
            raise DiskTrouble(file=name, reason=error.strerror) from error

    def sync(self, name):
        """Make the appended bytes durable."""
        try:
            os.fsync(self.logFile.fileno())
        except OSError as error:
            raise DiskTrouble(file=name, reason=error.strerror) from error

    def pause(self):
        """Return the seconds a sync takes beyond the call itself: none here."""
        return 0
