package lupinvalve.hotrestart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import lupinvalve.log.Log;

/**
 * Notes of which processes of a pooler run: who took up service last, and who started last. The process that ends reads
 * from them whether somebody else takes its clients, one that starts whether somebody serves them meanwhile, and both
 * whether they share the limits.
 */
public final class ProcessMarkers {
    private static final int BYTES_MOST = 64;
    private final Path stem, beside;
    private final long self = ProcessHandle.current().pid();
    /** Who served when this process started; 0 for nobody. */
    private volatile long predecessor;

    private volatile boolean reported;

    /** @param stem path of the files, without their endings */
    public ProcessMarkers(Path stem) {
        this.stem = stem;
        beside = file(".note." + self);
    }

    private Path file(String ending) {
        return stem.resolveSibling(stem.getFileName() + ending);
    }

    /** Leaves the note that this process is starting. */
    public void markStarting() {
        predecessor = noted(".serving");
        note(".starting");
    }

    /** Leaves the note that this process serves from now on. */
    public void markServing() {
        note(".serving");
    }

    /** Whether another process, which runs, took up service last. */
    public boolean isSuperseded() {
        return runs(noted(".serving"));
    }

    /** Whether another process runs, be it on its way up or on its way out. */
    public boolean isAnotherRunning() {
        return runs(noted(".starting")) || runs(predecessor);
    }

    private void note(String ending) {
        try {
            Files.writeString(beside, Long.toString(self));
            Files.move(beside, file(ending), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // The other process then takes this one for absent, and serves on until it is killed.
            Log.error("%s can't be written: %s", file(ending), e);
        }
    }

    private boolean runs(long pid) {
        return pid > 0
                && pid != self
                && ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
    }

    /** The process that a note names; 0 for none. */
    private long noted(String ending) {
        Path file = file(ending);
        try {
            if (Files.size(file) > BYTES_MOST) {
                throw new IOException("too long");
            }
            return Long.parseLong(Files.readString(file).strip());
        } catch (NoSuchFileException e) {
            return 0;
        } catch (IOException | NumberFormatException e) {
            if (!reported) {
                Log.error("%s can't be read: %s", file, e);
                reported = true;
            }
            return 0;
        }
    }
}
