package lupinvalve.cli;

import java.nio.file.attribute.FileTime;
import java.util.List;

/** Decides from looks at some files when a change to them is over: they look the same for a second. */
final class SettledChange {
    /**
     * What a look at one file shows.
     *
     * @param modified when it was written last; null where there is no file
     * @param key tells it from another put in its place, as far as the file system does; may be null
     */
    record Look(FileTime modified, long size, Object key) {
        static final Look ABSENT = new Look(null, 0, null);
    }

    private static final long STANDS_MICROS = 1_000_000;
    private List<Look> taken;
    private List<Look> last;
    private long since;

    /** @param now as the files look before they are read for the first time */
    SettledChange(List<Look> now) {
        taken = now;
        last = now;
    }

    /**
     * Takes a look in.
     *
     * @return whether the files are other ones than those taken last, and stand still; they count as taken from now on
     */
    boolean settled(List<Look> now, long micros) {
        if (!now.equals(last)) {
            last = now;
            since = micros;
            return false;
        }
        if (now.equals(taken) || micros - since < STANDS_MICROS) {
            return false;
        }
        taken = now;
        return true;
    }
}
