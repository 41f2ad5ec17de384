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
    private static final Pattern VARIABLES_QUERY =
            Pattern.compile("(?is)\\s*(?:/\\*.*?\\*/\\s*)?select\\s+(@@.+?)(?:\\s+limit\\s+1)?\\s*;?\\s*");
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
        Matcher matcher = VARIABLES_QUERY.matcher(query);
        if (query.length() > 4096 || !matcher.matches()) {
            return null;
        }
        List<byte[]> packets = new ArrayList<>();
        String[] items = matcher.group(1).split(",");
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
