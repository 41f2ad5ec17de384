package lupinvalve.cli;

import java.nio.file.attribute.FileTime;
import java.util.List;

/**
 * Decides from successive attributes of some files when a change to them is complete: the attributes have been the same
 * for one second. No I/O.
 */
final class SettledChange {
    /**
     * The attributes of one file at one time.
     *
     * @param modified time of the last write; null if the file does not exist
     * @param key identity of the file, which changes if another file is moved into its place, where the file system
     *     supports that; may be null
     */
    record FileStamp(FileTime modified, long size, Object key) {
        static final FileStamp ABSENT = new FileStamp(null, 0, null);
    }

    private static final long STABLE_MICROS = 1_000_000;
    private List<FileStamp> reported;
    private List<FileStamp> last;
    private long stableSinceMicros;

    /** @param current attributes of the files before they are read for the first time */
    SettledChange(List<FileStamp> current) {
        reported = current;
        last = current;
    }

    /**
     * Evaluates the current attributes.
     *
     * @param nowMicros monotonic time
     * @return whether the files differ from those of the last reported change and are stable; the change then counts as
     *     reported
     */
    boolean settled(List<FileStamp> current, long nowMicros) {
        if (!current.equals(last)) {
            last = current;
            stableSinceMicros = nowMicros;
            return false;
        }
        if (current.equals(reported) || nowMicros - stableSinceMicros < STABLE_MICROS) {
            return false;
        }
        reported = current;
        return true;
    }
}
