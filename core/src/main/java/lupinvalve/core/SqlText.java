package lupinvalve.core;

/**
 * What the pooler reads in the SQL text of a statement.
 *
 * @param firstLiteral value of the first quoted literal, with adjacent ones appended as the dialect does; null if there
 *     is none
 * @param placeholders number of placeholders
 * @param placeholdersBeforeLiteral number of placeholders before the first literal; all of them if there is no literal
 * @param commentStart where the content of the last block comment starts, or {@link #NONE}
 * @param commentEnd where the content of the last block comment ends
 * @param isCut whether the text ends within a literal, a quoted name or a block comment
 */
record SqlText(
        String firstLiteral,
        int placeholders,
        int placeholdersBeforeLiteral,
        int commentStart,
        int commentEnd,
        boolean isCut) {
    /** Position of a part that the text does not have. */
    static final int NONE = -1;

    /** Reads the text of a statement; never fails, whatever the text is. */
    static SqlText read(byte[] text, SqlDialect dialect) {
        return new SqlScanner(text, dialect).scan();
    }
}
