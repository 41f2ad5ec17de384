package lupinvalve.mysql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answers the query for system variables that drivers send when they connect, which is {@code SELECT @@name, ...} and
 * nothing else. The values describe the pooler's own MySQL endpoint, not a db node.
 */
final class Variables {
    private static final int MAX_QUERY_CHARS = 4096;
    private static final String SELECT = "select";
    private static final String VARIABLE_PREFIX = "@@";
    private static final String LIMIT = "limit";
    private static final String LIMIT_COUNT = "1";
    private static final String COMMENT_START = "/*";
    private static final String COMMENT_END = "*/";
    private static final Pattern VARIABLE_ITEM =
            Pattern.compile("(?i)@@(?:session\\.|global\\.)?(\\w+)(?:\\s+as\\s+(\\w+))?");
    private static final Map<String, String> VALUES = Map.ofEntries(
            Map.entry("auto_increment_increment", "1"),
            Map.entry("character_set_client", "utf8mb4"),
            Map.entry("character_set_connection", "utf8mb4"),
            Map.entry("character_set_results", "utf8mb4"),
            Map.entry("character_set_server", "utf8mb4"),
            Map.entry("collation_server", "utf8mb4_general_ci"),
            Map.entry("collation_connection", "utf8mb4_general_ci"),
            Map.entry("init_connect", ""),
            Map.entry("interactive_timeout", "28800"),
            Map.entry("wait_timeout", "28800"),
            Map.entry("net_write_timeout", "60"),
            Map.entry("license", ""),
            Map.entry("lower_case_table_names", "0"),
            Map.entry("max_allowed_packet", "1048576"),
            Map.entry("performance_schema", "0"),
            Map.entry("sql_mode", "STRICT_TRANS_TABLES"),
            Map.entry("system_time_zone", "UTC"),
            Map.entry("time_zone", "SYSTEM"),
            Map.entry("transaction_isolation", "READ-COMMITTED"),
            Map.entry("tx_isolation", "READ-COMMITTED"),
            Map.entry("transaction_read_only", "0"),
            Map.entry("autocommit", "1"),
            Map.entry("version", "8.0.0-lupinvalve"),
            Map.entry("version_comment", "lupinvalve"));

    private Variables() {}

    /**
     * The packets of the whole answer, or null where the query is of any other form. An unknown variable is NULL.
     *
     * @param deprecateEof whether the client has the DEPRECATE_EOF capability
     */
    static byte[][] answer(String query, boolean deprecateEof, long capabilities) {
        String list = query.length() > MAX_QUERY_CHARS ? null : variables(query);
        if (list == null) {
            return null;
        }
        List<byte[]> packets = new ArrayList<>();
        String[] items = list.split(",");
        int sequence = 1;
        packets.add(new PacketWriter().lengthEncodedInt(items.length).packet(sequence++));
        PacketWriter row = new PacketWriter();
        for (String item : items) {
            Matcher itemMatcher = VARIABLE_ITEM.matcher(item.strip());
            if (!itemMatcher.matches()) {
                return null;
            }
            String name = itemMatcher.group(1).toLowerCase(Locale.ROOT);
            String label = itemMatcher.group(2) != null ? itemMatcher.group(2) : item.strip();
            packets.add(columnDefinition(label).packet(sequence++));
            String value = VALUES.get(name);
            if (value == null) {
                row.int1(0xFB);
            } else {
                row.lengthEncoded(value);
            }
        }
        if (!deprecateEof) {
            packets.add(Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence++));
        }
        packets.add(row.packet(sequence++));
        packets.add(
                deprecateEof
                        ? Protocol.Ok.PLAIN.packet(0xFE, capabilities, sequence)
                        : Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence));
        return packets.toArray(new byte[0][]);
    }

    /** The list of variables in a query for nothing else; null for any other query. Takes linear time for any input. */
    private static String variables(String query) {
        String text = withoutEnd(query.strip(), ";");
        if (text.startsWith(COMMENT_START)) {
            int end = text.indexOf(COMMENT_END, COMMENT_START.length());
            text = end < 0 ? "" : text.substring(end + COMMENT_END.length()).stripLeading();
        }
        if (!text.regionMatches(true, 0, SELECT, 0, SELECT.length())) {
            return null;
        }
        String behindSelect = text.substring(SELECT.length());
        String list = withoutLimit(behindSelect.strip());
        boolean isSeparated =
                behindSelect.length() > behindSelect.stripLeading().length();
        return isSeparated && list.startsWith(VARIABLE_PREFIX) && list.length() > VARIABLE_PREFIX.length()
                ? list
                : null;
    }

    /** Removes {@code LIMIT 1} from the end of a list, if it stands there. */
    private static String withoutLimit(String list) {
        String beforeCount = withoutEnd(list, LIMIT_COUNT);
        String beforeLimit = withoutEnd(beforeCount, LIMIT);
        boolean isLimit =
                isCutBehindSpace(list, beforeCount, LIMIT_COUNT) && isCutBehindSpace(beforeCount, beforeLimit, LIMIT);
        return isLimit ? beforeLimit : list;
    }

    /** Whether a word was cut from the end of a text, with white space before it. */
    private static boolean isCutBehindSpace(String text, String cut, String word) {
        return cut.length() < text.length() - word.length();
    }

    /** A text without the word at its end, if it stands there in any case, and without white space before that. */
    private static String withoutEnd(String text, String word) {
        int start = text.length() - word.length();
        return start >= 0 && text.regionMatches(true, start, word, 0, word.length())
                ? text.substring(0, start).stripTrailing()
                : text;
    }

    /** A column definition packet for a column of strings. */
    static PacketWriter columnDefinition(String name) {
        return new PacketWriter()
                .lengthEncoded("def")
                .lengthEncoded("")
                .lengthEncoded("")
                .lengthEncoded("")
                .lengthEncoded(name)
                .lengthEncoded("")
                .lengthEncodedInt(12)
                .fixedInt(45, 2)
                .fixedInt(1024, 4)
                .int1(0xFD)
                .fixedInt(0, 2)
                .int1(0)
                .fixedInt(0, 2);
    }
}
