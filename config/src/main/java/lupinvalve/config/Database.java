package lupinvalve.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

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
public record Database(String name, String group, String zone, String primary, List<String> replicas, int connectionLimit,
        long statementTimeoutMillis) {
    /** How many databases a configuration names at most. */
    public static final int MOST = 4096;
    private static final int REPLICAS_MOST = 15;
    private static final int LIMIT_MOST = 100_000;
    private static final long TIMEOUT_MOST = 86_400_000;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,63}");
    private static final Pattern ADDRESS = Pattern.compile("[^\\s:]+:[0-9]{1,5}|\\[[0-9a-fA-F:.]+]:[0-9]{1,5}");

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
                case "name" -> name = matching(path, text(path, in), NAME, "1 to 63 letters, digits, ., - and _ are possible");
                case "group" -> group = matching(path, text(path, in), NAME, "1 to 63 letters, digits, ., - and _ are possible");
                case "zone" -> zone = matching(path, text(path, in), NAME, "1 to 63 letters, digits, ., - and _ are possible");
                case "primary" -> primary = matching(path, text(path, in), ADDRESS, "no address with a port");
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
            all.add(matching(one, text(one, in), ADDRESS, "no address with a port"));
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

    private static String matching(String path, String value, Pattern pattern, String otherwise) throws IOException {
        if (!pattern.matcher(value).matches()) {
            throw wrong(path, value, otherwise);
        }
        return value;
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
