package lupinvalve.simulator;

import java.util.List;
import java.util.Map;

/** Typed reading of one message's fields; every complaint names the message and the field. */
final class Fields {
    private final String where;
    private final Map<String, Object> values;

    Fields(String where, Map<String, Object> values) {
        this.where = where;
        this.values = values;
    }

    WireException wrong(String name, String what) {
        Object value = values.get(name);
        return new WireException(
                "message " + where + ": field " + name + " " + what + (value == null ? "" : ": " + shown(value)));
    }

    /** A value in a complaint: on one line, and not for ever. */
    private static String shown(Object value) {
        String text = String.valueOf(value).replaceAll("\\s+", " ");
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private Object needed(String name) {
        Object value = values.get(name);
        if (value == null) {
            throw wrong(name, "is missing");
        }
        return value;
    }

    String text(String name) {
        if (needed(name) instanceof String text) {
            return text;
        }
        throw wrong(name, "is not a text");
    }

    String textOrNull(String name) {
        return values.get(name) == null ? null : text(name);
    }

    long whole(String name) {
        Object value = needed(name);
        if (value instanceof Long whole) {
            return whole;
        }
        if (value instanceof Double number && number == Math.rint(number)) {
            return (long) (double) number;
        }
        throw wrong(name, "is not a whole number");
    }

    long wholeOr(String name, long other) {
        return values.get(name) == null ? other : whole(name);
    }

    double number(String name) {
        if (needed(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw wrong(name, "is not a number");
    }

    double numberOr(String name, double other) {
        return values.get(name) == null ? other : number(name);
    }

    boolean flag(String name) {
        if (needed(name) instanceof Boolean flag) {
            return flag;
        }
        throw wrong(name, "is not true or false");
    }

    boolean flagOr(String name, boolean other) {
        return values.get(name) == null ? other : flag(name);
    }

    List<Object> array(String name) {
        if (needed(name) instanceof List<?> list) {
            return List.copyOf(list.stream()
                    .map(item -> item == null ? (Object) "" : (Object) item)
                    .toList());
        }
        throw wrong(name, "is not an array");
    }

    boolean has(String name) {
        return values.get(name) != null;
    }

    List<Object> arrayOrEmpty(String name) {
        return values.get(name) == null ? List.of() : array(name);
    }

    Fields object(String name) {
        return inner(name, needed(name));
    }

    Fields inner(String name, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw wrong(name, "is not an object");
        }
        Map<String, Object> fields = new java.util.LinkedHashMap<>();
        map.forEach((key, item) -> fields.put(String.valueOf(key), item));
        return new Fields(where + " " + name, fields);
    }
}
