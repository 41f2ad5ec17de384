package lupinvalve.replication;

/** Names of files that end in a number of 16 digits or more, so that their order is that of their numbers. */
final class NumberedFile {
    private static final int DIGITS = 16;

    private NumberedFile() {}

    /** The name of the file of a kind with this number. */
    static String name(String kind, long number) {
        String digits = Long.toString(number);
        return kind + "0".repeat(Math.max(0, DIGITS - digits.length())) + digits;
    }

    /** The number of a file of a kind. */
    static long number(String name, String kind) throws RecordFrames.CorruptException {
        try {
            return Long.parseLong(name.substring(kind.length()));
        } catch (NumberFormatException e) {
            throw new RecordFrames.CorruptException(name + ": not a name of this program's");
        }
    }
}
