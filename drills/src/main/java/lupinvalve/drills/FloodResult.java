package lupinvalve.drills;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * How usual clients fared beside a flood, and what the pooler took.
 *
 * @param asked requests of usual clients
 * @param late requests answered over 0.5 s after their deadline
 * @param lost requests never answered
 * @param unconnected connections that the pooler's machine did not accept in time: nothing of them was taken
 * @param served requests answered with a value before their deadline
 * @param errors answers that were errors, by SQLSTATE
 * @param endings what ended the connections of lost requests, by exception
 * @param peakMegabytes the pooler's peak resident memory
 * @param died whether the pooler ended by itself
 */
public record FloodResult(
        FloodKind kind,
        long asked,
        long late,
        long lost,
        long unconnected,
        long served,
        Map<String, Integer> errors,
        Map<String, Integer> endings,
        double p50Millis,
        double p99Millis,
        double worstMillis,
        long peakMegabytes,
        boolean died,
        long floodBytes,
        long floodConnections) {
    /** A flood may cost usual clients half of what is served, but not more than that. */
    private static final double MIN_SERVED_RATIO = 0.5;

    /**
     * Whether every connection was accepted, every request had its answer in time and at least half of them were
     * served.
     */
    public boolean good(long memoryMegabytes) {
        return late == 0
                && lost == 0
                && unconnected == 0
                && !died
                && peakMegabytes <= memoryMegabytes
                && served >= asked * MIN_SERVED_RATIO;
    }

    /** One line of JSON. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "{\"kind\":\"%s\",\"asked\":%d,\"late\":%d,\"lost\":%d,\"unconnected\":%d,\"served\":%d,\"errors\":\"%s\",\"endings\":\"%s\","
                        + "\"p50_ms\":%.1f,\"p99_ms\":%.1f,\"worst_ms\":%.1f,\"peak_mb\":%d,\"died\":%b,"
                        + "\"flood_mb\":%.1f,\"flood_connections\":%d}",
                kind.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                asked,
                late,
                lost,
                unconnected,
                served,
                errors,
                endings,
                p50Millis,
                p99Millis,
                worstMillis,
                peakMegabytes,
                died,
                floodBytes / 1e6,
                floodConnections);
    }

    /** Collects how requests end; safe for concurrent use. */
    static final class Recorder {
        private final Histogram tookMicros = new Histogram(3);
        private final Map<String, Integer> errors = new TreeMap<>();
        private final Map<String, Integer> endings = new TreeMap<>();
        private long late;
        private long lost;
        private long unconnected;
        private long served;

        synchronized void answered(String errorCode, long micros, boolean isLate, boolean isInTime) {
            tookMicros.recordValue(micros);
            late += isLate ? 1 : 0;
            if (errorCode != null) {
                errors.merge(errorCode, 1, Integer::sum);
            } else if (isInTime) {
                served++;
            }
        }

        synchronized void unconnected() {
            unconnected++;
        }

        synchronized void lost(String ending, long micros) {
            tookMicros.recordValue(micros);
            lost++;
            endings.merge(ending, 1, Integer::sum);
        }

        synchronized FloodResult result(
                FloodKind kind, long peakMegabytes, boolean died, long floodBytes, long floodConnections) {
            return new FloodResult(
                    kind,
                    tookMicros.getTotalCount(),
                    late,
                    lost,
                    unconnected,
                    served,
                    new TreeMap<>(errors),
                    new TreeMap<>(endings),
                    tookMicros.getValueAtPercentile(50) / 1e3,
                    tookMicros.getValueAtPercentile(99) / 1e3,
                    tookMicros.getMaxValue() / 1e3,
                    peakMegabytes,
                    died,
                    floodBytes,
                    floodConnections);
        }
    }
}
