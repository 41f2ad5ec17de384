package lupinvalve.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Session tokens, for read-your-writes: the log position that a session's reads must see. Requests carry them, or they
 * are remembered here; the latter are bounded in number, and those dropped for space still bind through a floor.
 */
final class SessionTokens {
    private static final int MAX_SESSIONS = 50_000;
    private final RouterContext context;
    private final RouterSettings.TokenSource source;
    private final LinkedHashMap<String, Long> positions = new LinkedHashMap<>();
    private long floorPosition = LogPosition.UNKNOWN;

    SessionTokens(RouterContext context) {
        this.context = context;
        source = context.settings().replication().tokens();
    }

    /** The log position that a read must see, by its class: that of now, that of its session's writes, or none. */
    long requiredPosition(RouterEvent.RequestArrived request, RequestClass.Access access) {
        return switch (access) {
            case STRONG -> context.nowMicros();
            case SESSION -> sessionPosition(request);
            default -> LogPosition.UNKNOWN;
        };
    }

    private long sessionPosition(RouterEvent.RequestArrived request) {
        if (source == RouterSettings.TokenSource.CARRIED) {
            return request.sinceWriteMicros() > 0
                    ? context.nowMicros() - request.sinceWriteMicros()
                    : LogPosition.UNKNOWN;
        }
        return request.session() == null
                ? LogPosition.UNKNOWN
                : positions.getOrDefault(request.session(), floorPosition);
    }

    /** Remembers the position of a session's write, unless its requests carry their tokens themselves. */
    void recordWrite(RouterEvent.RequestArrived request, long position) {
        if (source == RouterSettings.TokenSource.REMEMBERED && request.session() != null) {
            raise(request.session(), position == LogPosition.UNKNOWN ? context.nowMicros() : position);
        }
    }

    private void raise(String session, long position) {
        Long before = positions.remove(session);
        positions.put(session, before == null ? position : Math.max(before, position));
        if (positions.size() > MAX_SESSIONS) {
            Iterator<Long> eldest = positions.values().iterator();
            floorPosition = Math.max(floorPosition, eldest.next());
            eldest.remove();
        }
    }
}
