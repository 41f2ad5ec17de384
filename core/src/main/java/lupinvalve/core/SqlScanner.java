package lupinvalve.core;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.Arrays;
import java.util.Locale;

/**
 * Divides an SQL text into comments, literals, quoted names, placeholders and the rest, so that none of them is taken
 * for another. Reads the text once, from the start. Not thread-safe.
 */
final class SqlScanner {
    /** Length of the start of a comment that MySQL executes. */
    private static final int CODE_COMMENT_START_BYTES = 3;

    private final byte[] text;
    private final boolean isMysql;
    private int position;

    private SqlLiteral firstLiteral;
    /** The literal that a further one is appended to if it is next, or null. */
    private SqlLiteral adjacentLiteral;
    /** Whether a line has ended since {@link #adjacentLiteral}. */
    private boolean hasNewLine;

    private int placeholders;
    private int placeholdersBeforeLiteral;
    private int commentStart = SqlText.NONE;
    private int commentEnd = SqlText.NONE;
    /** Whether the text being read stands in a comment that MySQL executes. */
    private boolean isInCodeComment;

    private boolean isCut;

    SqlScanner(byte[] text, SqlDialect dialect) {
        this.text = text;
        isMysql = dialect == SqlDialect.MYSQL;
    }

    SqlText scan() {
        while (position < text.length) {
            readPart();
        }
        return new SqlText(
                firstLiteral == null ? null : firstLiteral.value(),
                placeholders,
                firstLiteral == null ? placeholders : placeholdersBeforeLiteral,
                commentStart,
                commentEnd,
                isCut || isInCodeComment);
    }

    private int byteAt(int index) {
        return index < text.length ? text[index] : SqlText.NONE;
    }

    private void readPart() {
        byte current = text[position];
        int next = byteAt(position + 1);
        if (current >= 0 && current <= ' ') {
            hasNewLine |= current == '\n' || current == '\r';
            position++;
        } else if (isLineComment(current, next)) {
            skipLine();
        } else if (current == '/' && next == '*') {
            readBlockComment();
        } else if (current == '\'' || current == '"' && isMysql) {
            readLiteral(isMysql ? SqlLiteral.Encoding.MYSQL_ESCAPES : SqlLiteral.Encoding.PLAIN);
        } else {
            adjacentLiteral = null;
            readCode(current, next);
        }
    }

    /** Reads what is neither white space nor a comment nor a literal without a prefix. */
    private void readCode(byte current, int next) {
        if (isWordPart(current)) {
            readWord();
        } else if (current == '"' || current == '`' && isMysql) {
            readQuotedName();
        } else if (current == '@' && isMysql && (next == '\'' || next == '"' || next == '`')) {
            position++;
            readQuotedName();
        } else if (current == '$' && !isMysql) {
            readDollarQuoted();
        } else if (current == '*' && next == '/' && isInCodeComment) {
            isInCodeComment = false;
            position += 2;
        } else {
            placeholders += current == '?' && isMysql ? 1 : 0;
            position++;
        }
    }

    // ---- comments ----

    private boolean isLineComment(byte current, int next) {
        if (isMysql && current == '#') {
            return true;
        }
        int afterDashes = byteAt(position + 2);
        // MySQL reads "a--1" as a subtraction.
        return current == '-' && next == '-' && (!isMysql || afterDashes >= SqlText.NONE && afterDashes <= ' ');
    }

    private void skipLine() {
        while (position < text.length && text[position] != '\n' && (isMysql || text[position] != '\r')) {
            position++;
        }
    }

    private void readBlockComment() {
        if (!isMysql) {
            // Only line ends and line comments may stand between the parts of a PostgreSQL literal.
            adjacentLiteral = null;
        } else if (byteAt(position + 2) == '!') {
            adjacentLiteral = null;
            isInCodeComment = true;
            position += CODE_COMMENT_START_BYTES;
            return;
        }
        int start = position + 2;
        int end = blockCommentEnd(start);
        if (end == SqlText.NONE) {
            isCut = true;
            position = text.length;
        } else {
            commentStart = start;
            commentEnd = end;
            position = end + 2;
        }
    }

    /** Where the content of a block comment ends, or {@link SqlText#NONE}; PostgreSQL's comments nest. */
    private int blockCommentEnd(int start) {
        int depth = 1;
        for (int i = start; i + 1 < text.length; i++) {
            if (text[i] == '*' && text[i + 1] == '/') {
                depth--;
                if (depth == 0) {
                    return i;
                }
                i++;
            } else if (!isMysql && text[i] == '/' && text[i + 1] == '*') {
                depth++;
                i++;
            }
        }
        return SqlText.NONE;
    }

    // ---- literals ----

    /** Reads a literal whose opening quote is at the current position, or a further part of the one before it. */
    private void readLiteral(SqlLiteral.Encoding encoding) {
        SqlLiteral literal = adjacentLiteral != null && (isMysql || hasNewLine) ? adjacentLiteral : begin(encoding);
        int end = literal.read(position + 1, text[position]);
        endLiteral(literal, end);
    }

    private SqlLiteral begin(SqlLiteral.Encoding encoding) {
        SqlLiteral literal = new SqlLiteral(text, encoding, firstLiteral == null);
        if (firstLiteral == null) {
            firstLiteral = literal;
            placeholdersBeforeLiteral = placeholders;
        }
        return literal;
    }

    private void endLiteral(SqlLiteral literal, int end) {
        if (end == SqlText.NONE) {
            isCut = true;
            position = text.length;
            return;
        }
        position = end;
        adjacentLiteral = literal.encoding() == SqlLiteral.Encoding.HEX ? null : literal;
        hasNewLine = false;
    }

    /** Reads a name, a keyword or a number, and the literal that it is the prefix of. */
    private void readWord() {
        int start = position;
        while (position < text.length && (isWordPart(text[position]) || text[position] == '$')) {
            position++;
        }
        boolean isPrefix = position - start == 1;
        if (!isPrefix) {
            return;
        }
        String prefix = new String(text, start, 1, ISO_8859_1).toLowerCase(Locale.ROOT);
        if (!isMysql && prefix.equals("u") && byteAt(position) == '&' && byteAt(position + 1) == '\'') {
            position++;
            readLiteral(SqlLiteral.Encoding.UNICODE_ESCAPES);
        } else if (!isMysql && prefix.equals("e") && byteAt(position) == '\'') {
            readLiteral(SqlLiteral.Encoding.POSTGRESQL_ESCAPES);
        } else if (isMysql && prefix.equals("x") && byteAt(position) == '\'') {
            readLiteral(SqlLiteral.Encoding.HEX);
        }
    }

    private static boolean isWordPart(byte current) {
        return current >= 'a' && current <= 'z'
                || current >= 'A' && current <= 'Z'
                || current >= '0' && current <= '9'
                || current == '_'
                || current < 0;
    }

    /** Skips a name whose opening quote is at the current position; a doubled quote stands for one quote. */
    private void readQuotedName() {
        byte quote = text[position];
        boolean isEscaped = isMysql && quote != '`';
        SqlLiteral.Encoding encoding = isEscaped ? SqlLiteral.Encoding.MYSQL_ESCAPES : SqlLiteral.Encoding.PLAIN;
        int end = new SqlLiteral(text, encoding, false).read(position + 1, quote);
        isCut |= end == SqlText.NONE;
        position = end == SqlText.NONE ? text.length : end;
    }

    /** Reads a literal of PostgreSQL between two equal tags such as {@code $$} or {@code $tag$}. */
    private void readDollarQuoted() {
        int tagEnd = position + 1;
        while (tagEnd < text.length && isWordPart(text[tagEnd])) {
            tagEnd++;
        }
        boolean isParameter = byteAt(position + 1) >= '0' && byteAt(position + 1) <= '9';
        if (byteAt(tagEnd) != '$' || isParameter) {
            position++;
            return;
        }
        int start = tagEnd + 1;
        int tagLength = start - position;
        int end = indexOfTag(position, tagLength, start);
        SqlLiteral literal = begin(SqlLiteral.Encoding.PLAIN);
        if (end == SqlText.NONE) {
            endLiteral(literal, end);
            return;
        }
        literal.append(start, end);
        position = end + tagLength;
    }

    private int indexOfTag(int tagStart, int tagLength, int from) {
        for (int i = from; i + tagLength <= text.length; i++) {
            if (Arrays.equals(text, tagStart, tagStart + tagLength, text, i, i + tagLength)) {
                return i;
            }
        }
        return SqlText.NONE;
    }
}
