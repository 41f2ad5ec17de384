package lupinvalve.hotrestart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import lupinvalve.log.Log;

/**
 * Marker files that name the processes of one pooler: which one started last, and which one took up service last. In a
 * hot restart the old process reads from them that its successor takes the clients, the new one that a predecessor
 * serves meanwhile, and both that they share the limits. Thread-safe; touches the disk.
 */
public final class ProcessMarkers {
    private static final String STARTING = ".starting";
    private static final String SERVING = ".serving";
    private static final int MAX_MARKER_BYTES = 64;
    private static final long NO_PID = 0;

    private final Path stem;
    private final Path temporary;
    private final long ownPid = ProcessHandle.current().pid();
    /** The process that served when this one started, or {@link #NO_PID}. */
    private volatile long predecessorPid = NO_PID;

    private volatile boolean readErrorReported;

    /** @param stem path of the markers, without their endings */
    public ProcessMarkers(Path stem) {
        this.stem = stem;
        temporary = file(".note." + ownPid);
    }

    private Path file(String ending) {
        return stem.resolveSibling(stem.getFileName() + ending);
    }

    /** Marks this process as the one that started last. */
    public void markStarting() {
        predecessorPid = read(SERVING);
        write(STARTING);
    }

    /** Marks this process as the one that took up service last. */
    public void markServing() {
        write(SERVING);
    }

    /** Whether another process that runs took up service last. */
    public boolean isSuperseded() {
        return isOtherAlive(read(SERVING));
    }

    /** Whether another process of this pooler runs, be it starting or draining. */
    public boolean isAnotherRunning() {
        return isOtherAlive(read(STARTING)) || isOtherAlive(predecessorPid);
    }

    private void write(String ending) {
        try {
            Files.writeString(temporary, Long.toString(ownPid));
            Files.move(temporary, file(ending), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // The other process then takes this one for absent, and serves on until it is killed.
            Log.error("%s can't be written: %s", file(ending), e);
        }
    }

    private boolean isOtherAlive(long pid) {
        return pid > NO_PID
                && pid != ownPid
                && ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    /** The process that a marker names, or {@link #NO_PID}; an unreadable marker is reported once. */
    private long read(String ending) {
        Path file = file(ending);
        try {
            if (Files.size(file) > MAX_MARKER_BYTES) {
                throw new IOException("too long");
            }
            return Long.parseLong(Files.readString(file).strip());
        } catch (NoSuchFileException e) {
            return NO_PID;
        } catch (IOException | NumberFormatException e) {
            if (!readErrorReported) {
                Log.error("%s can't be read: %s", file, e);
                readErrorReported = true;
            }
            return NO_PID;
        }
    }
}
