package lupinvalve.core;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Reads SQL text by dialect. Guards against sessions without a key, or with another session's, because a literal, a
 * quoted name and a comment were taken for each other.
 */
class SqlTextTest {
    private static final int SEED = 69;
    private static final int GENERATED_STATEMENTS = 20_000;
    private static final String FIELDS = " /* id=9,c=x,d=480,cluster=1 */";

    private static String key(SqlDialect dialect, String text) {
        return new Statement(text.getBytes(UTF_8), dialect).sessionKey();
    }

    private static void assertKey(SqlDialect dialect, String expected, String... literals) {
        for (String literal : literals) {
            Statement statement = new Statement(("SELECT " + literal + FIELDS).getBytes(UTF_8), dialect);
            assertEquals(expected, statement.sessionKey(), literal);
            assertEquals("9", statement.field("id"), literal);
        }
    }

    /** Guards against writes and reads of one session whose literals are written in different ways. */
    @Test
    void theKeyIsTheValueOfTheLiteral() {
        assertKey(
                SqlDialect.MYSQL,
                "it's",
                "'it''s'",
                "\"it's\"",
                "'it\\'s'",
                "\"it\\'s\"",
                "_utf8mb4'it''s'",
                "N'it''s'",
                "x'69742773'",
                "X'69742773'",
                "'it' \"'s\"",
                "'it' /* 'no' */ '\\'s'",
                "'i' -- 'no'\n 't''s'");
        assertKey(SqlDialect.MYSQL, "say \"x\"", "'say \"x\"'", "\"say \"\"x\"\"\"", "\"say \\\"x\\\"\"");
        assertKey(SqlDialect.MYSQL, "a\n\t\u0000\u001a\\b%", "'a\\n\\t\\0\\Z\\\\b\\x%'".replace("\\x", ""));
        assertKey(SqlDialect.MYSQL, "a\\%\\_q", "'a\\%\\_\\q'");
        assertKey(
                SqlDialect.POSTGRESQL,
                "it's",
                "'it''s'",
                "E'it\\'s'",
                "e'it''s'",
                "E'\\x69\\164\\u0027\\U00000073'",
                "$$it's$$",
                "$q$it's$q$",
                "U&'it\\0027s'",
                "u&'it\\+000027s'",
                "N'it''s'",
                "'it'\n'''s'",
                "'it' -- 'no'\n '''s'");
        assertKey(SqlDialect.POSTGRESQL, "a\\x", "'a\\x'", "$$a\\x$$", "E'a\\\\x'", "U&'a\\\\x'");
        assertKey(SqlDialect.POSTGRESQL, "a$b$", "$t$a$b$$t$");
    }

    /** Guards against names and comments that are taken for literals, and literals that are taken for comments. */
    @Test
    void literalsNamesAndCommentsAreToldApart() {
        assertKey(SqlDialect.MYSQL, "k", "`it's`, 'k'", "`a``'b`, 'k'", "@'user', 'k'", "@`it's`, \"k\"");
        assertKey(SqlDialect.MYSQL, "k", "1 -- it's\n, 'k'", "1 # it's\n, 'k'", "1 /* it's */, 'k'", "1 --\n'k'");
        assertKey(SqlDialect.MYSQL, "k", "/*! 'k' */", "/*!50000 1 */*'k'", "/*+ HINT('x') */ 'k'");
        assertKey(SqlDialect.MYSQL, "k", "5--'k'", "5 /* /* */ , 'k'");
        assertKey(SqlDialect.MYSQL, "/* id=8 */", "'/* id=8 */'", "\"/* id=8 */\"");
        assertKey(SqlDialect.POSTGRESQL, "k", "\"it's\", 'k'", "\"a\"\"'b\", 'k'", "1 # 'k'", "5--it's\n, 'k'");
        assertKey(SqlDialect.POSTGRESQL, "k", "1 /* it's /* ' */ ' */, 'k'", "$1, 'k'", "a$b$c, 'k', a$b$");
        assertKey(SqlDialect.POSTGRESQL, "/* id=8 */", "'/* id=8 */'", "$$/* id=8 */$$");
        String literalLast = "SELECT 1" + FIELDS + ", '/* id=8,c=y */'";
        for (SqlDialect dialect : SqlDialect.values()) {
            assertEquals("9", new Statement(literalLast.getBytes(UTF_8), dialect).field("id"));
            assertNull(key(dialect, "SELECT 1" + FIELDS));
        }
        assertEquals("k", key(SqlDialect.MYSQL, "SELECT 'k' -- it's /* id=8 */"));
        assertNull(new Statement("SELECT 'k' -- /* id=8 */".getBytes(UTF_8), SqlDialect.MYSQL).field("id"));
    }

    @Test
    void placeholdersAreCountedOutsideLiteralsNamesAndComments() {
        String text = "SELECT ?, '?', `?`, \"?\", /* ? */ ? -- ?\n, 5--?, # ?\n ? /*! ? */" + FIELDS;
        Statement statement = new Statement(text.getBytes(UTF_8), SqlDialect.MYSQL);
        assertEquals(5, statement.placeholderCount());
        assertEquals(1, statement.placeholdersBeforeLiteral());
        Statement withoutLiteral = new Statement("SELECT ?, ?".getBytes(UTF_8), SqlDialect.MYSQL);
        assertEquals(2, withoutLiteral.placeholdersBeforeLiteral());
    }

    @Test
    void escapesOfLaterLiteralsAreReadToo() {
        assertKey(SqlDialect.MYSQL, "k", "'k', 'it\\'s /* id=8 */', \"\\\"\", x'27'");
        assertKey(SqlDialect.POSTGRESQL, "k", "'k', E'it\\'s\\x27\\u0027', U&'\\0027\\+000027', 'a\\'");
    }

    /** Guards against exceptions and sessions from statements that end early. */
    @Test
    void aTextThatIsCutHasNoSession() {
        for (String text : List.of("'", "'k", "'k\\'", "\"k", "`k", "'k', 'l", "'k' /* id=9", "'k', /*! 1")) {
            Statement statement = new Statement(("SELECT " + text).getBytes(UTF_8), SqlDialect.MYSQL);
            assertTrue(statement.isCut(), text);
            assertNull(statement.sessionKey(), text);
        }
        for (String text : List.of("'", "'k''", "\"k", "E'k\\'", "$$k$", "$t$k$$", "'k' /* /* */", "U&'\\00")) {
            Statement statement = new Statement(("SELECT " + text).getBytes(UTF_8), SqlDialect.POSTGRESQL);
            assertTrue(statement.isCut(), text);
            assertNull(statement.sessionKey(), text);
        }
        assertFalse(new Statement(new byte[0], SqlDialect.MYSQL).isCut());
    }

    /** Compares the reader with the values that generated statements were written from. */
    @Test
    void generatedStatementsHaveTheKeyThatTheyWereWrittenFrom() {
        Random random = new Random(SEED);
        for (int i = 0; i < GENERATED_STATEMENTS; i++) {
            SqlDialect dialect = SqlDialect.values()[random.nextInt(2)];
            String expected = value(random);
            String text = "SELECT " + filler(dialect, random) + literal(dialect, expected, random)
                    + filler(dialect, random) + ", " + literal(dialect, value(random), random) + FIELDS
                    + filler(dialect, random).replace("/*", "--").replace("*/", "--");
            Statement statement = new Statement(text.getBytes(UTF_8), dialect);
            assertEquals(expected, statement.sessionKey(), dialect + ": " + text);
            assertEquals("480", statement.field("d"), dialect + ": " + text);
            assertEquals("9", statement.field("id"), dialect + ": " + text);
            byte[] cut = text.substring(0, random.nextInt(text.length())).getBytes(UTF_8);
            new Statement(cut, dialect).sessionKey();
            random.nextBytes(cut);
            new Statement(cut, dialect).sessionKey();
        }
    }

    private static String value(Random random) {
        String alphabet = "ab'\"`\\/*-# ,=?$é€\n";
        StringBuilder value = new StringBuilder();
        for (int i = random.nextInt(12); i > 0; i--) {
            value.append(alphabet.charAt(random.nextInt(alphabet.length())));
        }
        return value.toString();
    }

    private static String literal(SqlDialect dialect, String value, Random random) {
        boolean isMysql = dialect == SqlDialect.MYSQL;
        String doubled = value.replace("'", "''");
        return switch (random.nextInt(4)) {
            case 0 -> isMysql ? '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"' : dollarQuoted(value);
            case 1 -> isMysql
                    ? '"' + value.replace("\\", "\\\\").replace("\"", "\"\"") + '"'
                    : "E'" + escaped(value) + "'";
            case 2 -> "'" + (isMysql ? escaped(value) : doubled) + "'";
            default -> "'" + (isMysql ? doubled.replace("\\", "\\\\") : doubled) + "'";
        };
    }

    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("'", "\\'").replace("\n", "\\n");
    }

    private static String dollarQuoted(String value) {
        return "$end$" + value + "$end$";
    }

    /** Text without a literal, which begins and ends so that it changes no literal beside it. */
    private static String filler(SqlDialect dialect, Random random) {
        boolean isMysql = dialect == SqlDialect.MYSQL;
        return switch (random.nextInt(6)) {
            case 0 -> " /* it's \"x\" `y` -- # */ ";
            case 1 -> " -- it's /* \"x\n";
            case 2 -> isMysql ? " # it's /* \"x\n" : " /* a /* b's */ ' */ ";
            case 3 -> isMysql ? " `it's /* \"x`, " : " \"it's /* -- \"\" x\", ";
            case 4 -> " x1, 5 - 3, ";
            default -> " ";
        };
    }
}
