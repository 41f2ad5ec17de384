package lupinvalve.replication;

/** File names that end in a number, zero-padded to at least 16 digits so that the names sort by number. */
final class NumberedFileName {
    private static final int MIN_DIGITS = 16;

    private NumberedFileName() {}

    /** Returns the name with a prefix and a number. */
    static String of(String prefix, long number) {
        String digits = Long.toString(number);
        return prefix + "0".repeat(Math.max(0, MIN_DIGITS - digits.length())) + digits;
    }

    /**
     * Returns the number after the prefix in a file's name.
     *
     * @throws RecordFrames.CorruptException if the name does not end in a number, so that the file is not one of this
     *     program's
     */
    static long number(String name, String prefix) throws RecordFrames.CorruptException {
        try {
            return Long.parseLong(name.substring(prefix.length()));
        } catch (NumberFormatException e) {
            throw new RecordFrames.CorruptException(name + ": the name does not end in a number");
        }
    }
}
