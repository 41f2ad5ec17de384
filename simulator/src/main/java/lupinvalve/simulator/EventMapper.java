package lupinvalve.simulator;

import java.util.ArrayList;
import java.util.HashMap;
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

/**
 * Maps wire messages to {@link RouterCommand}s and {@link RouterEvent}s. Stores only what later messages refer to: the
 * endpoint lists by number, and the origin of each router's log positions. Not thread-safe.
 */
final class EventMapper {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Number of low bits of a stamp that encode the server's role; the others are its log position in milliseconds. */
    private static final int ROLE_BITS = 2;

    private static final int ROLE_MASK = (1 << ROLE_BITS) - 1;

    private final Map<Long, List<Endpoint>> endpointLists = new HashMap<>();
    private final Map<Integer, Long> originMicrosByRouter = new HashMap<>();

    /** Maps a message to a command; returns null if the message only defines an endpoint list. */
    RouterCommand map(Map<String, Object> fields) {
        Object tag = fields.get("msg");
        if (!(tag instanceof String kind)) {
            throw new WireException("message: field msg is missing or not a string");
        }
        MessageFields message = new MessageFields(kind, fields);
        if (kind.equals("DEFINE_LIST")) {
            endpointLists.put(message.integer("list"), endpoints(message));
            return null;
        }
        int router = (int) message.integer("who");
        return switch (kind) {
            case "UP" -> {
                MessageFields env = message.object("env");
                long seed = message.integer("entropy");
                RouterSettings settings = SettingsReader.read(env);
                originMicrosByRouter.put(router, env.object("specifics").integerOr("origin_time_us", 0));
                yield new RouterCommand.Start(router, seed, settings);
            }
            case "DOWN" -> {
                originMicrosByRouter.remove(router);
                yield new RouterCommand.Stop(router);
            }
            default -> new RouterCommand.Deliver(
                    router, event(kind, message, originMicrosByRouter.getOrDefault(router, 0L)));
        };
    }

    private RouterEvent event(String kind, MessageFields message, long originMicros) {
        return switch (kind) {
            case "ROSTER_CHANGE" -> endpointUpdate(message);
            case "CALL" -> new RouterEvent.RequestArrived(
                    message.text("rid"),
                    (int) message.integer("cls"),
                    message.flagOr("resent", false),
                    message.textOrNull("sess"),
                    (long) Math.ceil(message.numberOr("last_write_ms", 0) * MICROS_PER_MILLI),
                    (int) message.number("group_no"),
                    message.integer("expires_in_us"));
            case "CANCELLED_BY_CLIENT" -> new RouterEvent.ClientDisconnected(message.text("rid"));
            case "OUTCOME" -> attemptEnded(message, originMicros);
            case "PROBED" -> healthCheckEnded(message, originMicros);
            case "WAKEUP" -> new RouterEvent.TimerFired(message.integer("handle"));
            case "HEARD" -> new RouterEvent.PeerMessage((int) message.integer("author"), message.text("data"));
            case "UNDER_WAY" -> new RouterEvent.AnswerStarted(message.text("rid"), (int) message.integer("seq_no"));
            default -> throw new WireException("message " + kind + ": field msg is not a known message");
        };
    }

    private RouterEvent.EndpointUpdate endpointUpdate(MessageFields message) {
        ListForm form =
                switch (message.text("form")) {
                    case "update" -> ListForm.UPDATE;
                    case "replace" -> ListForm.FULL;
                    case "restored" -> ListForm.RESTORED;
                    case "unavailable" -> ListForm.UNAVAILABLE;
                    default -> throw message.invalid("form", "is none of update, replace, restored, unavailable");
                };
        if (form == ListForm.UNAVAILABLE) {
            return new RouterEvent.EndpointUpdate(form, List.of());
        }
        List<Endpoint> endpoints = endpointLists.get(message.integer("list"));
        if (endpoints == null) {
            throw message.invalid("list", "refers to a list that has not been defined");
        }
        return new RouterEvent.EndpointUpdate(form, endpoints);
    }

    private static List<Endpoint> endpoints(MessageFields message) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object listedEntry : message.array("lines")) {
            MessageFields entry = message.nested("lines", listedEntry);
            EndpointState state =
                    switch (entry.text("health")) {
                        case "live" -> EndpointState.LIVE;
                        case "quiescing" -> EndpointState.DRAINING;
                        case "dead" -> EndpointState.DEPARTED;
                        default -> throw entry.invalid("health", "is none of live, quiescing, dead");
                    };
            endpoints.add(new Endpoint(
                    entry.text("node"),
                    (int) entry.integer("db"),
                    (int) entry.integerOr("dc", 0),
                    state,
                    entry.numberOr("primary", 0) == 1,
                    entry.integerOr("born_us", 0)));
        }
        return endpoints;
    }

    private static RouterEvent.AttemptEnded attemptEnded(MessageFields message, long originMicros) {
        long stamp = message.integerOr("stamp", 0);
        long positionMillis = stamp >> ROLE_BITS;
        ServerRole role =
                switch ((int) (stamp & ROLE_MASK)) {
                    case 1 -> ServerRole.PRIMARY;
                    case 2 -> ServerRole.REPLICA;
                    default -> ServerRole.UNKNOWN;
                };
        return new RouterEvent.AttemptEnded(
                message.text("rid"),
                (int) message.integer("seq_no"),
                message.text("node"),
                attemptOutcome(message),
                message.integer("elapsed_us"),
                message.flagOr("closed", false),
                positionMillis == 0 ? LogPosition.UNKNOWN : originMicros + positionMillis * MICROS_PER_MILLI,
                role);
    }

    private static RouterEvent.HealthCheckEnded healthCheckEnded(MessageFields message, long originMicros) {
        List<Object> stats = message.arrayOrEmpty("server_stats");
        long position = LogPosition.UNKNOWN;
        ServerRole role = ServerRole.UNKNOWN;
        if (stats.size() > 1
                && stats.get(0) instanceof Number positionSeconds
                && stats.get(1) instanceof Number isPrimary) {
            position = originMicros + (long) Math.floor(positionSeconds.doubleValue() * MICROS_PER_SECOND);
            role = isPrimary.doubleValue() == 1 ? ServerRole.PRIMARY : ServerRole.REPLICA;
        }
        return new RouterEvent.HealthCheckEnded(
                message.text("node"), attemptOutcome(message), message.integer("elapsed_us"), position, role);
    }

    private static AttemptOutcome attemptOutcome(MessageFields message) {
        return switch (message.text("ending")) {
            case "done" -> AttemptOutcome.SERVED;
            case "err" -> AttemptOutcome.ERROR;
            case "busy" -> AttemptOutcome.REJECTED;
            case "etimedout" -> AttemptOutcome.TIMED_OUT;
            case "econnrefused" -> AttemptOutcome.NOT_CONNECTED;
            case "econnreset" -> AttemptOutcome.BROKEN;
            case "ecanceled" -> AttemptOutcome.CANCELLED;
            case "skipped" -> AttemptOutcome.NOT_SENT;
            case "enoent" -> AttemptOutcome.MISDIRECTED;
            default -> throw message.invalid("ending", "is not a known ending");
        };
    }
}
