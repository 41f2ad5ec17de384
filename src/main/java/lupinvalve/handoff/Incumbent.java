package lupinvalve.handoff;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import lupinvalve.log.Log;

/**
 * A note of which process of a pooler took up service last. The process that ends reads from it whether somebody else
 * takes its clients; one that starts, whether somebody serves them meanwhile.
 */
public final class Incumbent {
    private static final int BYTES_MOST = 64;
    private final Path file, beside;
    private final long self = ProcessHandle.current().pid();

    /** @param stem path of the files, without their endings */
    public Incumbent(Path stem) {
        file = stem.resolveSibling(stem.getFileName() + ".serving");
        beside = stem.resolveSibling(stem.getFileName() + ".serving." + self);
    }

    /** Leaves the note that this process serves from now on. */
    public void serves() {
        try {
            Files.writeString(beside, Long.toString(self));
            Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // The other process then takes this one for absent, and serves on until it is killed.
            Log.error("%s can't be written: %s", file, e);
        }
    }

    /** Whether another process, which runs, has taken up service since this one did, or before it. */
    public boolean another() {
        try {
            if (Files.size(file) > BYTES_MOST) {
                throw new IOException("too long");
            }
            long pid = Long.parseLong(Files.readString(file).strip());
            return pid != self && ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
        } catch (NoSuchFileException e) {
            return false;
        } catch (IOException | NumberFormatException e) {
            Log.error("%s can't be read: %s", file, e);
            return false;
        }
    }
}
