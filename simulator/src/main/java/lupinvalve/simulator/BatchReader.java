package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Parses batches of wire messages; {@link EventMapper} maps each message to a command. Not thread-safe. */
final class BatchReader {
    /** One batch: the time at which its events happen, and its commands in order. */
    record Batch(long timeMicros, List<RouterCommand> commands) {}

    private static final JsonFactory JSON = new JsonFactory();
    private final EventMapper mapper = new EventMapper();

    Batch read(byte[] line, int length) {
        List<RouterCommand> commands = null;
        Long timeMicros = null;
        try (JsonParser in = JSON.createParser(line, 0, length)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new WireException("batch: not a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken token = in.nextToken();
                if (name.equals("time_us")) {
                    if (token != JsonToken.VALUE_NUMBER_INT) {
                        throw new WireException("batch: field time_us is not a whole number");
                    }
                    timeMicros = in.getLongValue();
                } else if (name.equals("news")) {
                    if (token != JsonToken.START_ARRAY) {
                        throw new WireException("batch: field news is not an array");
                    }
                    commands = commands == null ? new ArrayList<>() : commands;
                    readCommands(in, commands);
                } else {
                    in.skipChildren();
                }
            }
            if (in.nextToken() != null) {
                throw new WireException("batch: more than one value on the line");
            }
        } catch (JsonProcessingException e) {
            throw new WireException("batch: not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new WireException("batch: " + e.getMessage());
        }
        if (timeMicros == null || commands == null) {
            throw new WireException("batch: missing field " + (timeMicros == null ? "time_us" : "news"));
        }
        return new Batch(timeMicros, commands);
    }

    private void readCommands(JsonParser in, List<RouterCommand> commands) throws IOException {
        for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
            if (token != JsonToken.START_OBJECT) {
                throw new WireException("batch: an entry of field news is not an object");
            }
            RouterCommand command = mapper.map(JsonValues.object(in));
            if (command != null) {
                commands.add(command);
            }
        }
    }
}
