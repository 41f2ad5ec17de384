package lupinvalve.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One database in the configuration that a Raft group stores. Immutable.
 *
 * @param name unique within the configuration
 * @param group group of db nodes that host it
 * @param zone zone of its primary
 * @param primary address of the primary
 * @param replicas addresses of the replicas
 * @param connectionLimit maximum number of connections from one pooler
 * @param statementTimeoutMillis time limit of a statement; 0 for no limit
 */
public record Database(
        String name,
        String group,
        String zone,
        String primary,
        List<String> replicas,
        int connectionLimit,
        long statementTimeoutMillis) {
    /** Maximum number of databases in a configuration. */
    public static final int MAX_COUNT = 4096;

    private static final int MAX_REPLICAS_COUNT = 15;
    private static final int MAX_CONNECTION_LIMIT_COUNT = 100_000;
    private static final long MAX_STATEMENT_TIMEOUT_MILLIS = 86_400_000;
    private static final int MAX_NAME_CHARS = 63;
    private static final int MAX_PORT_CHARS = 5;
    private static final String NAME_RULE = "1 to 63 letters, digits, ., - and _ are possible";

    /**
     * Reads the section; the parser stands at its start. The message of an exception names the file, the field and the
     * invalid value.
     */
    static List<Database> readAll(JsonParser in) throws IOException {
        List<Database> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            String path = "databases[" + all.size() + "]";
            if (!in.hasToken(JsonToken.START_OBJECT)) {
                throw invalid(path, in.getText(), "not an object");
            }
            Database next = read(in, path);
            if (!names.add(next.name())) {
                throw invalid(path + ".name", next.name(), "named twice");
            }
            all.add(next);
            if (all.size() > MAX_COUNT) {
                throw new ConfigException("operator's file: databases has more than " + MAX_COUNT + " entries");
            }
        }
        return List.copyOf(all);
    }

    private static Database read(JsonParser in, String entryPath) throws IOException {
        String name = null;
        String group = null;
        String zone = "";
        String primary = null;
        List<String> replicas = List.of();
        long connectionLimit = 0;
        long timeoutMillis = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            String path = entryPath + "." + field;
            in.nextToken();
            switch (field) {
                case "name" -> name = name(path, text(path, in));
                case "group" -> group = name(path, text(path, in));
                case "zone" -> zone = name(path, text(path, in));
                case "primary" -> primary = address(path, text(path, in));
                case "replicas" -> replicas = replicas(in, path);
                case "connection_limit" -> connectionLimit = number(path, in, MAX_CONNECTION_LIMIT_COUNT);
                case "statement_timeout_ms" -> timeoutMillis = number(path, in, MAX_STATEMENT_TIMEOUT_MILLIS);
                default -> throw new ConfigException("operator's file: " + path + " is unknown");
            }
        }
        requirePresent(entryPath + ".name", name);
        requirePresent(entryPath + ".group", group);
        requirePresent(entryPath + ".primary", primary);
        return new Database(name, group, zone, primary, replicas, (int) connectionLimit, timeoutMillis);
    }

    private static List<String> replicas(JsonParser in, String path) throws IOException {
        if (!in.hasToken(JsonToken.START_ARRAY)) {
            throw invalid(path, in.getText(), "not an array");
        }
        List<String> all = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            String elementPath = path + "[" + all.size() + "]";
            all.add(address(elementPath, text(elementPath, in)));
            if (all.size() > MAX_REPLICAS_COUNT) {
                throw new ConfigException(
                        "operator's file: " + path + " has more than " + MAX_REPLICAS_COUNT + " entries");
            }
        }
        return List.copyOf(all);
    }

    private static String text(String path, JsonParser in) throws IOException {
        if (!in.hasToken(JsonToken.VALUE_STRING)) {
            throw invalid(path, in.getText(), "not a text");
        }
        return in.getText();
    }

    private static long number(String path, JsonParser in, long max) throws IOException {
        boolean isInteger = in.hasToken(JsonToken.VALUE_NUMBER_INT);
        String value = in.getText();
        if (!isInteger || value.length() > 18 || in.getLongValue() < 0 || in.getLongValue() > max) {
            throw invalid(path, value, "0 to " + max + " are possible");
        }
        return in.getLongValue();
    }

    // Checked character by character: regular expressions are slower, and each pooler validates up to thousands of
    // entries on each change.

    private static String name(String path, String value) throws IOException {
        boolean valid = !value.isEmpty() && value.length() <= MAX_NAME_CHARS;
        for (int i = 0; i < value.length() && valid; i++) {
            char symbol = value.charAt(i);
            valid = isLetter(symbol) || isDigit(symbol) || symbol == '.' || symbol == '-' || symbol == '_';
        }
        if (!valid) {
            throw invalid(path, value, NAME_RULE);
        }
        return value;
    }

    /** A host's name or literal address, IPv6 in brackets, and a port. */
    private static String address(String path, String value) throws IOException {
        int colon = value.lastIndexOf(':');
        boolean valid = colon > 0 && value.length() - colon - 1 >= 1 && value.length() - colon - 1 <= MAX_PORT_CHARS;
        for (int i = colon + 1; i < value.length() && valid; i++) {
            valid = isDigit(value.charAt(i));
        }
        if (!valid || !isHost(value, colon)) {
            throw invalid(path, value, "no address with a port");
        }
        return value;
    }

    private static boolean isHost(String value, int end) {
        boolean literal = value.charAt(0) == '[' && value.charAt(end - 1) == ']' && end > 2;
        for (int i = literal ? 1 : 0; i < (literal ? end - 1 : end); i++) {
            char symbol = value.charAt(i);
            boolean valid = literal
                    ? isDigit(symbol)
                            || symbol >= 'a' && symbol <= 'f'
                            || symbol >= 'A' && symbol <= 'F'
                            || symbol == ':'
                            || symbol == '.'
                    : symbol != ':' && !Character.isWhitespace(symbol);
            if (!valid) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLetter(char symbol) {
        return symbol >= 'a' && symbol <= 'z' || symbol >= 'A' && symbol <= 'Z';
    }

    private static boolean isDigit(char symbol) {
        return symbol >= '0' && symbol <= '9';
    }

    private static void requirePresent(String path, String value) throws IOException {
        if (value == null) {
            throw new ConfigException("operator's file: " + path + " is missing");
        }
    }

    private static ConfigException invalid(String path, String value, String reason) {
        return new ConfigException("operator's file: " + path + " is " + value + "; " + reason);
    }
}
