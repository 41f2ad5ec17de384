package lupinvalve.replication;

/** Names of files that end in a number of 16 digits or more, so that they sort by number. */
final class NumberedFileName {
    private static final int DIGITS_MIN_COUNT = 16;

    private NumberedFileName() {}

    /** The name with this prefix and number. */
    static String of(String prefix, long number) {
        String digits = Long.toString(number);
        return prefix + "0".repeat(Math.max(0, DIGITS_MIN_COUNT - digits.length())) + digits;
    }

    /** The number in the name of a file with this prefix. */
    static long number(String name, String prefix) throws RecordFrames.CorruptException {
        try {
            return Long.parseLong(name.substring(prefix.length()));
        } catch (NumberFormatException e) {
            throw new RecordFrames.CorruptException(name + ": not a name of this program's");
        }
    }
}
