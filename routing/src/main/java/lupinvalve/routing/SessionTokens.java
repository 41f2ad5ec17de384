package lupinvalve.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Session tokens, for read-your-writes: the log position that a server must have reached to answer a session's reads.
 * Either the requests carry them, or the router stores them. The number of stored tokens is bounded; the greatest of
 * the evicted ones applies to all sessions without a stored token, so that the evicted ones still hold.
 */
final class SessionTokens {
    private static final int MAX_SESSIONS = 50_000;
    private final RouterContext context;
    private final RouterSettings.TokenSource source;
    private final LinkedHashMap<String, Long> positions = new LinkedHashMap<>();
    /** The greatest of the evicted tokens. */
    private long floorPosition = LogPosition.UNKNOWN;

    SessionTokens(RouterContext context) {
        this.context = context;
        source = context.settings().replication().tokens();
    }

    /**
     * The log position that a server must have reached for a read: the present for a strong read, that of the session's
     * writes for a session read, else none.
     */
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

    /**
     * Stores the position of a session's write, unless requests carry their tokens. The present time stands for an
     * unknown position, as the write was committed before its answer arrived.
     */
    void recordWrite(RouterEvent.RequestArrived request, long position) {
        if (source == RouterSettings.TokenSource.REMEMBERED && request.session() != null) {
            raise(request.session(), position == LogPosition.UNKNOWN ? context.nowMicros() : position);
        }
    }

    /** Raises a session's token; beyond the bound, the one of the session that wrote least recently is evicted. */
    private void raise(String session, long position) {
        Long former = positions.remove(session);
        positions.put(session, former == null ? position : Math.max(former, position));
        if (positions.size() > MAX_SESSIONS) {
            Iterator<Long> leastRecentFirst = positions.values().iterator();
            floorPosition = Math.max(floorPosition, leastRecentFirst.next());
            leastRecentFirst.remove();
        }
    }
}
