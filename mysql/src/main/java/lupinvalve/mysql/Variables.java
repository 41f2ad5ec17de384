package lupinvalve.mysql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answers what drivers ask of every server when they connect: {@code SELECT @@name, ...} alone. The values are those
 * that hold on this front; they name nothing of a db node.
 */
final class Variables {
    private static final Pattern QUERY =
            Pattern.compile("(?is)\\s*(?:/\\*.*?\\*/\\s*)?select\\s+(@@.+?)(?:\\s+limit\\s+1)?\\s*;?\\s*");
    private static final Pattern ITEM = Pattern.compile("(?i)@@(?:session\\.|global\\.)?(\\w+)(?:\\s+as\\s+(\\w+))?");
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

    /** The whole answer, or null where the query asks for anything else. */
    static byte[][] answer(String query, boolean newer, long capabilities) {
        Matcher matcher = QUERY.matcher(query);
        if (query.length() > 4096 || !matcher.matches()) {
            return null;
        }
        List<byte[]> packets = new ArrayList<>();
        String[] items = matcher.group(1).split(",");
        int sequence = 1;
        packets.add(new Out().lenenc(items.length).packet(sequence++));
        Out row = new Out();
        for (String item : items) {
            Matcher named = ITEM.matcher(item.strip());
            if (!named.matches()) {
                return null;
            }
            String name = named.group(1).toLowerCase(Locale.ROOT);
            String label = named.group(2) != null ? named.group(2) : item.strip();
            packets.add(column(label).packet(sequence++));
            String value = VALUES.get(name);
            if (value == null) {
                row.int1(0xFB);
            } else {
                row.counted(value);
            }
        }
        if (!newer) {
            packets.add(Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence++));
        }
        packets.add(row.packet(sequence++));
        packets.add(
                newer
                        ? Protocol.Ok.PLAIN.packet(0xFE, capabilities, sequence)
                        : Protocol.eof(Protocol.STATUS_AUTOCOMMIT, sequence));
        return packets.toArray(new byte[0][]);
    }

    /** A column definition of a text. */
    static Out column(String name) {
        return new Out()
                .counted("def")
                .counted("")
                .counted("")
                .counted("")
                .counted(name)
                .counted("")
                .lenenc(12)
                .fixed(45, 2)
                .fixed(1024, 4)
                .int1(0xFD)
                .fixed(0, 2)
                .int1(0)
                .fixed(0, 2);
    }
}
