package lupinvalve.simulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Typed access to the fields of one wire message; each exception names the message and the field. */
final class MessageFields {
    private static final int MAX_EXCERPT_CHARS = 60;

    private final String path;
    private final Map<String, Object> values;

    MessageFields(String path, Map<String, Object> values) {
        this.path = path;
        this.values = values;
    }

    /** Returns the exception for a field whose value is missing or invalid. */
    WireException invalid(String name, String problem) {
        Object value = values.get(name);
        return new WireException(
                "message " + path + ": field " + name + " " + problem + (value == null ? "" : ": " + excerpt(value)));
    }

    /** Returns the value for an error message: on one line, and truncated if it is long. */
    private static String excerpt(Object value) {
        String text = String.valueOf(value).replaceAll("\\s+", " ");
        return text.length() > MAX_EXCERPT_CHARS ? text.substring(0, MAX_EXCERPT_CHARS) + "..." : text;
    }

    private Object required(String name) {
        Object value = values.get(name);
        if (value == null) {
            throw invalid(name, "is missing");
        }
        return value;
    }

    String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw invalid(name, "is not a string");
    }

    String textOrNull(String name) {
        return values.get(name) == null ? null : text(name);
    }

    long integer(String name) {
        Object value = required(name);
        if (value instanceof Long integer) {
            return integer;
        }
        if (value instanceof Double number && number == Math.rint(number)) {
            return (long) (double) number;
        }
        throw invalid(name, "is not a whole number");
    }

    long integerOr(String name, long defaultValue) {
        return values.get(name) == null ? defaultValue : integer(name);
    }

    double number(String name) {
        if (required(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw invalid(name, "is not a number");
    }

    double numberOr(String name, double defaultValue) {
        return values.get(name) == null ? defaultValue : number(name);
    }

    boolean flag(String name) {
        if (required(name) instanceof Boolean flag) {
            return flag;
        }
        throw invalid(name, "is not true or false");
    }

    boolean flagOr(String name, boolean defaultValue) {
        return values.get(name) == null ? defaultValue : flag(name);
    }

    List<Object> array(String name) {
        if (required(name) instanceof List<?> list) {
            return List.copyOf(list.stream()
                    .map(item -> item == null ? (Object) "" : (Object) item)
                    .toList());
        }
        throw invalid(name, "is not an array");
    }

    boolean has(String name) {
        return values.get(name) != null;
    }

    List<Object> arrayOrEmpty(String name) {
        return values.get(name) == null ? List.of() : array(name);
    }

    MessageFields object(String name) {
        return nested(name, required(name));
    }

    MessageFields nested(String name, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw invalid(name, "is not an object");
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        map.forEach((key, item) -> fields.put(String.valueOf(key), item));
        return new MessageFields(path + " " + name, fields);
    }
}
