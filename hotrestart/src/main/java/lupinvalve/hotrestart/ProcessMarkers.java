package lupinvalve.hotrestart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import lupinvalve.log.Log;

/**
 * Marker files that hold the process ids of one pooler's processes: the one that started last, and the one that began
 * to serve last. In a hot restart the old process reads from them that its successor accepts clients, the new one that
 * its predecessor still serves, and both that they share the limits on resources. Thread-safe; blocks on disk I/O.
 */
public final class ProcessMarkers {
    private static final String STARTING = ".starting";
    private static final String SERVING = ".serving";
    private static final int MAX_MARKER_BYTES = 64;
    private static final long NO_PID = 0;

    private final Path stem;
    private final Path temporaryFile;
    private final long ownPid = ProcessHandle.current().pid();
    /** Id of the process that served when this one started, or {@link #NO_PID}. */
    private volatile long predecessorPid = NO_PID;

    private volatile boolean readErrorReported;

    /** @param stem path of the marker files without their suffixes */
    public ProcessMarkers(Path stem) {
        this.stem = stem;
        temporaryFile = file(".note." + ownPid);
    }

    private Path file(String suffix) {
        return stem.resolveSibling(stem.getFileName() + suffix);
    }

    /** Records this process as the one that started last. */
    public void markStarting() {
        predecessorPid = read(SERVING);
        write(STARTING);
    }

    /** Records this process as the one that began to serve last. */
    public void markServing() {
        write(SERVING);
    }

    /** Whether another process, which is still running, began to serve last. */
    public boolean isSuperseded() {
        return isOtherAlive(read(SERVING));
    }

    /** Whether another process of this pooler is running, starting and draining ones included. */
    public boolean isAnotherRunning() {
        return isOtherAlive(read(STARTING)) || isOtherAlive(predecessorPid);
    }

    private void write(String suffix) {
        try {
            Files.writeString(temporaryFile, Long.toString(ownPid));
            Files.move(
                    temporaryFile, file(suffix), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // The other process then assumes that this one is absent, and serves until it is killed.
            Log.error(
                    "%s can't be written, so the other process of a hot restart does not detect this one: %s",
                    file(suffix), e);
        }
    }

    private boolean isOtherAlive(long pid) {
        return pid > NO_PID
                && pid != ownPid
                && ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    /** The process id in a marker file, or {@link #NO_PID} if there is none; an unreadable file is logged once. */
    private long read(String suffix) {
        Path file = file(suffix);
        try {
            if (Files.size(file) > MAX_MARKER_BYTES) {
                throw new IOException("too long");
            }
            return Long.parseLong(Files.readString(file).strip());
        } catch (NoSuchFileException e) {
            return NO_PID;
        } catch (IOException | NumberFormatException e) {
            if (!readErrorReported) {
                Log.error("%s can't be read, so this process assumes that no other one serves: %s", file, e);
                readErrorReported = true;
            }
            return NO_PID;
        }
    }
}
