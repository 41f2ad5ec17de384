package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/** Reads batches of the wire into {@link RouterEvent}s. Keeps only what the wire itself refers back to. */
final class BatchReader {
    /** One batch: its clock and its events in order. */
    record Batch(long timeMicros, List<Addressed> news) {}

    /** An event for one router; {@code settings} is set for a start and {@code down} for an end. */
    record Addressed(int who, RouterEvent event, long seed, RouterSettings settings, boolean down) {}

    private static final JsonFactory JSON = new JsonFactory();
    private final Map<Long, List<Endpoint>> lists = new HashMap<>();
    private final Map<Integer, Long> origins = new HashMap<>();

    Batch read(byte[] line, int length) {
        List<Addressed> news = new ArrayList<>();
        Long time = null;
        boolean told = false;
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
                    time = in.getLongValue();
                } else if (name.equals("news")) {
                    if (token != JsonToken.START_ARRAY) {
                        throw new WireException("batch: field news is not an array");
                    }
                    told = true;
                    while ((token = in.nextToken()) != JsonToken.END_ARRAY) {
                        if (token != JsonToken.START_OBJECT) {
                            throw new WireException("batch: an entry of field news is not an object");
                        }
                        readMessage(object(in), news);
                    }
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
        if (time == null || !told) {
            throw new WireException("batch: missing field " + (time == null ? "time_us" : "news"));
        }
        return new Batch(time, news);
    }

    private void readMessage(Map<String, Object> fields, List<Addressed> news) {
        Object tag = fields.get("msg");
        if (!(tag instanceof String kind)) {
            throw new WireException("message: field msg is missing or not a text");
        }
        Fields at = new Fields(kind, fields);
        if (kind.equals("DEFINE_LIST")) {
            lists.put(at.whole("list"), members(at));
            return;
        }
        int who = (int) at.whole("who");
        RouterEvent event = null;
        switch (kind) {
            case "UP" -> {
                Fields env = at.object("env");
                long seed = at.whole("entropy");
                news.add(new Addressed(who, null, seed, SettingsReader.read(env), false));
                origins.put(who, env.object("specifics").wholeOr("origin_time_us", 0));
                return;
            }
            case "DOWN" -> {
                origins.remove(who);
                news.add(new Addressed(who, null, 0, null, true));
                return;
            }
            case "ROSTER_CHANGE" -> event = listNews(at);
            case "CALL" -> event = new RouterEvent.RequestArrived(
                    at.text("rid"),
                    (int) at.whole("cls"),
                    at.flagOr("resent", false),
                    at.textOrNull("sess"),
                    (long) Math.ceil(at.numberOr("last_write_ms", 0) * 1000),
                    (int) at.number("group_no"),
                    at.whole("expires_in_us"));
            case "CANCELLED_BY_CLIENT" -> event = new RouterEvent.ClientDisconnected(at.text("rid"));
            case "OUTCOME" -> event = outcome(at, origins.getOrDefault(who, 0L));
            case "PROBED" -> event = probed(at, origins.getOrDefault(who, 0L));
            case "WAKEUP" -> event = new RouterEvent.TimerFired(at.whole("handle"));
            case "HEARD" -> event = new RouterEvent.PeerMessage((int) at.whole("author"), at.text("data"));
            case "UNDER_WAY" -> event = new RouterEvent.AnswerStarted(at.text("rid"), (int) at.whole("seq_no"));
            default -> throw new WireException("message " + kind + ": field msg names no known message");
        }
        news.add(new Addressed(who, event, 0, null, false));
    }

    private RouterEvent.EndpointUpdate listNews(Fields at) {
        ListForm form =
                switch (at.text("form")) {
                    case "update" -> ListForm.UPDATE;
                    case "replace" -> ListForm.FULL;
                    case "restored" -> ListForm.RESTORED;
                    case "unavailable" -> ListForm.UNAVAILABLE;
                    default -> throw at.wrong("form", "is none of update, replace, restored, unavailable");
                };
        if (form == ListForm.UNAVAILABLE) {
            return new RouterEvent.EndpointUpdate(form, List.of());
        }
        List<Endpoint> members = lists.get(at.whole("list"));
        if (members == null) {
            throw at.wrong("list", "names no list defined before");
        }
        return new RouterEvent.EndpointUpdate(form, members);
    }

    private static List<Endpoint> members(Fields at) {
        List<Endpoint> members = new ArrayList<>();
        for (Object line : at.array("lines")) {
            Fields entry = at.inner("lines", line);
            EndpointState health =
                    switch (entry.text("health")) {
                        case "live" -> EndpointState.LIVE;
                        case "quiescing" -> EndpointState.DRAINING;
                        case "dead" -> EndpointState.DEPARTED;
                        default -> throw entry.wrong("health", "is none of live, quiescing, dead");
                    };
            members.add(new Endpoint(
                    entry.text("node"),
                    (int) entry.whole("db"),
                    (int) entry.wholeOr("dc", 0),
                    health,
                    entry.numberOr("primary", 0) == 1,
                    entry.wholeOr("born_us", 0)));
        }
        return members;
    }

    private static RouterEvent.AttemptEnded outcome(Fields at, long origin) {
        long stamp = at.wholeOr("stamp", 0);
        long place = stamp >> 2;
        ServerRole role =
                switch ((int) (stamp & 3)) {
                    case 1 -> ServerRole.PRIMARY;
                    case 2 -> ServerRole.REPLICA;
                    default -> ServerRole.UNKNOWN;
                };
        return new RouterEvent.AttemptEnded(
                at.text("rid"),
                (int) at.whole("seq_no"),
                at.text("node"),
                ending(at),
                at.whole("elapsed_us"),
                at.flagOr("closed", false),
                place == 0 ? LogPosition.UNKNOWN : origin + place * 1000,
                role);
    }

    private static RouterEvent.HealthCheckEnded probed(Fields at, long origin) {
        List<Object> stats = at.arrayOrEmpty("server_stats");
        long position = LogPosition.UNKNOWN;
        ServerRole role = ServerRole.UNKNOWN;
        if (stats.size() > 1 && stats.get(0) instanceof Number x0 && stats.get(1) instanceof Number x1) {
            position = origin + (long) Math.floor(x0.doubleValue() * 1_000_000);
            role = x1.doubleValue() == 1 ? ServerRole.PRIMARY : ServerRole.REPLICA;
        }
        return new RouterEvent.HealthCheckEnded(at.text("node"), ending(at), at.whole("elapsed_us"), position, role);
    }

    private static AttemptOutcome ending(Fields at) {
        return switch (at.text("ending")) {
            case "done" -> AttemptOutcome.SERVED;
            case "err" -> AttemptOutcome.ERROR;
            case "busy" -> AttemptOutcome.REJECTED;
            case "etimedout" -> AttemptOutcome.TIMED_OUT;
            case "econnrefused" -> AttemptOutcome.NOT_CONNECTED;
            case "econnreset" -> AttemptOutcome.BROKEN;
            case "ecanceled" -> AttemptOutcome.CANCELLED;
            case "skipped" -> AttemptOutcome.NOT_SENT;
            case "enoent" -> AttemptOutcome.MISSED;
            default -> throw at.wrong("ending", "is no known ending");
        };
    }

    static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>(32);
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
