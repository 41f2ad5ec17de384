package lupinvalve.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One database that a group's configuration names.
 *
 * @param name unlike that of any other
 * @param group of db nodes that hold it
 * @param zone where its primary is
 * @param primary address of the primary
 * @param replicas addresses of the replicas
 * @param connectionLimit how many connections one pooler may hold to it
 * @param statementTimeoutMillis after which a statement is given up; 0 for never
 */
public record Database(
        String name,
        String group,
        String zone,
        String primary,
        List<String> replicas,
        int connectionLimit,
        long statementTimeoutMillis) {
    /** How many databases a configuration names at most. */
    public static final int MOST = 4096;

    private static final int REPLICAS_MOST = 15;
    private static final int LIMIT_MOST = 100_000;
    private static final long TIMEOUT_MOST = 86_400_000;
    private static final int NAME_MOST = 63;
    private static final int PORT_MOST = 5;
    private static final String NAME = "1 to 63 letters, digits, ., - and _ are possible";

    /** Reads the section, the parser being at its start; throws with file, field and value of what is wrong. */
    static List<Database> readAll(JsonParser in) throws IOException {
        List<Database> all = new ArrayList<>();
        Set<String> names = new HashSet<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            String at = "databases[" + all.size() + "]";
            if (!in.hasToken(JsonToken.START_OBJECT)) {
                throw wrong(at, in.getText(), "not an object");
            }
            Database next = read(in, at);
            if (!names.add(next.name())) {
                throw wrong(at + ".name", next.name(), "named twice");
            }
            all.add(next);
            if (all.size() > MOST) {
                throw new IOException("operator's file: databases has more than " + MOST + " entries");
            }
        }
        return List.copyOf(all);
    }

    private static Database read(JsonParser in, String at) throws IOException {
        String name = null;
        String group = null;
        String zone = "";
        String primary = null;
        List<String> replicas = List.of();
        long limit = 0;
        long timeout = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            String path = at + "." + field;
            in.nextToken();
            switch (field) {
                case "name" -> name = name(path, text(path, in));
                case "group" -> group = name(path, text(path, in));
                case "zone" -> zone = name(path, text(path, in));
                case "primary" -> primary = address(path, text(path, in));
                case "replicas" -> replicas = replicas(in, path);
                case "connection_limit" -> limit = number(path, in, LIMIT_MOST);
                case "statement_timeout_ms" -> timeout = number(path, in, TIMEOUT_MOST);
                default -> throw new IOException("operator's file: " + path + " is unknown");
            }
        }
        needed(at + ".name", name);
        needed(at + ".group", group);
        needed(at + ".primary", primary);
        return new Database(name, group, zone, primary, replicas, (int) limit, timeout);
    }

    private static List<String> replicas(JsonParser in, String path) throws IOException {
        if (!in.hasToken(JsonToken.START_ARRAY)) {
            throw wrong(path, in.getText(), "not an array");
        }
        List<String> all = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            String one = path + "[" + all.size() + "]";
            all.add(address(one, text(one, in)));
            if (all.size() > REPLICAS_MOST) {
                throw new IOException("operator's file: " + path + " has more than " + REPLICAS_MOST + " entries");
            }
        }
        return List.copyOf(all);
    }

    private static String text(String path, JsonParser in) throws IOException {
        if (!in.hasToken(JsonToken.VALUE_STRING)) {
            throw wrong(path, in.getText(), "not a text");
        }
        return in.getText();
    }

    private static long number(String path, JsonParser in, long most) throws IOException {
        boolean whole = in.hasToken(JsonToken.VALUE_NUMBER_INT);
        String value = in.getText();
        if (!whole || value.length() > 18 || in.getLongValue() < 0 || in.getLongValue() > most) {
            throw wrong(path, value, "0 to " + most + " are possible");
        }
        return in.getLongValue();
    }

    // By characters: patterns took a third of the time of reading 1,200 entries, which each pooler does for each
    // change.

    private static String name(String path, String value) throws IOException {
        boolean well = !value.isEmpty() && value.length() <= NAME_MOST;
        for (int i = 0; i < value.length() && well; i++) {
            char one = value.charAt(i);
            well = letter(one) || digit(one) || one == '.' || one == '-' || one == '_';
        }
        if (!well) {
            throw wrong(path, value, NAME);
        }
        return value;
    }

    /** A host's name or literal address, IPv6 in brackets, and a port. */
    private static String address(String path, String value) throws IOException {
        int colon = value.lastIndexOf(':');
        boolean well = colon > 0 && value.length() - colon - 1 >= 1 && value.length() - colon - 1 <= PORT_MOST;
        for (int i = colon + 1; i < value.length() && well; i++) {
            well = digit(value.charAt(i));
        }
        if (!well || !host(value, colon)) {
            throw wrong(path, value, "no address with a port");
        }
        return value;
    }

    private static boolean host(String value, int end) {
        boolean literal = value.charAt(0) == '[' && value.charAt(end - 1) == ']' && end > 2;
        for (int i = literal ? 1 : 0; i < (literal ? end - 1 : end); i++) {
            char one = value.charAt(i);
            boolean well = literal
                    ? digit(one) || one >= 'a' && one <= 'f' || one >= 'A' && one <= 'F' || one == ':' || one == '.'
                    : one != ':' && !Character.isWhitespace(one);
            if (!well) {
                return false;
            }
        }
        return true;
    }

    private static boolean letter(char one) {
        return one >= 'a' && one <= 'z' || one >= 'A' && one <= 'Z';
    }

    private static boolean digit(char one) {
        return one >= '0' && one <= '9';
    }

    private static void needed(String path, String value) throws IOException {
        if (value == null) {
            throw new IOException("operator's file: " + path + " is missing");
        }
    }

    private static IOException wrong(String path, String value, String why) {
        return new IOException("operator's file: " + path + " is " + value + "; " + why);
    }
}
