package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON values into maps, lists, strings, numbers and booleans. Stateless. */
final class JsonValues {
    private static final int INITIAL_FIELD_COUNT = 32;

    private JsonValues() {}

    /** Reads the object whose start the parser has just read. */
    static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>(INITIAL_FIELD_COUNT);
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            fields.put(name, value(in));
        }
        return fields;
    }

    private static Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT:
                return object(in);
            case START_ARRAY:
                List<Object> items = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    items.add(value(in));
                }
                return items;
            case VALUE_STRING:
                return in.getText();
            case VALUE_NUMBER_INT:
                return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) in.getDoubleValue()
                        : (Object) in.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return in.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }
}
