package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.LongStream;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.AuditHistory;

/**
 * Answers operators' queries of which pooler served on which version when, as JSON. Field names are the operators'.
 * Times are Unix times in microseconds; -1 for one that is not known.
 */
final class AuditQueries {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long UNKNOWN_TIME = -1;
    private static final int END_ARGUMENT = 2;

    private AuditQueries() {}

    /** Reads entries; one of a later version is left out and shows as missing. */
    static AuditHistory history(Collection<byte[]> encodedEntries) {
        List<AuditEntry> entries = new ArrayList<>();
        for (byte[] bytes : encodedEntries) {
            try {
                entries.add(AuditEntry.decode(bytes));
            } catch (IOException e) {
                // Of a later version: what it says is not known here.
                continue;
            }
        }
        return new AuditHistory(entries);
    }

    /** The answer to a query; throws InvalidRequestException where it is none. */
    static String answer(AuditHistory history, List<String> query) throws InvalidRequestException {
        String kind = query.isEmpty() ? "" : query.get(0);
        String argument = query.size() > 1 ? query.get(1) : "";
        return switch (kind) {
            case "at" -> at(history, micros(argument));
            case "pooler" -> spans(history, history.spansOf(argument));
            case "version" -> spans(history, history.spansUnder(argument));
            case "between" -> between(
                    history, micros(argument), micros(query.size() > END_ARGUMENT ? query.get(END_ARGUMENT) : ""));
            default -> throw new InvalidRequestException(
                    "audit at TIME, between T1 T2, pooler NAME or version V; not " + kind);
        };
    }

    /** What stands in a folder, and whether it is whole. */
    static String verified(List<AuditEntry> entries) {
        AuditHistory history = new AuditHistory(entries);
        return Json.object(out -> {
            out.writeNumberField("entries", entries.size());
            out.writeNumberField(
                    "lives",
                    entries.stream().map(AuditEntry::incarnation).distinct().count());
            out.writeArrayFieldStart("acted");
            for (String pooler : history.poolers()) {
                for (AuditHistory.VersionSpan span : history.spansOf(pooler)) {
                    out.writeString(span.version() + " from " + span.fromMicros() + " to "
                            + (span.toMicros() == Long.MAX_VALUE ? "not known" : span.toMicros()) + " us"
                            + (span.reason().isEmpty() ? "" : ", " + span.reason()));
                }
            }
            out.writeEndArray();
            breaks(out, history);
        });
    }

    private static long micros(String text) throws InvalidRequestException {
        try {
            return text.matches("[0-9]+")
                    ? Long.parseLong(text)
                    : Instant.parse(text).toEpochMilli() * MICROS_PER_MILLI;
        } catch (DateTimeException | ArithmeticException | NumberFormatException e) {
            throw new InvalidRequestException(
                    "no time: " + text + "; a Unix time in microseconds, or 2026-01-31T12:00:00Z", e);
        }
    }

    private static String at(AuditHistory history, long micros) {
        return Json.object(out -> {
            out.writeNumberField("at_us", micros);
            out.writeArrayFieldStart("poolers");
            for (AuditHistory.Coverage coverage : history.coverageAt(micros)) {
                out.writeStartObject();
                out.writeStringField("pooler", coverage.pooler());
                out.writeStringField("acted_on", String.join(", ", coverage.versions()));
                out.writeBooleanField("known", coverage.certain());
                out.writeStringField("why", coverage.reason());
                out.writeEndObject();
            }
            out.writeEndArray();
            breaks(out, history);
        });
    }

    private static String between(AuditHistory history, long from, long to) {
        List<AuditHistory.VersionSpan> all = new ArrayList<>();
        history.poolers().forEach(pooler -> history.spansOf(pooler).stream()
                .filter(span -> span.fromMicros() < to && span.toMicros() > from)
                .forEach(all::add));
        return spans(history, all);
    }

    private static String spans(AuditHistory history, List<AuditHistory.VersionSpan> spans) {
        return Json.object(out -> {
            out.writeArrayFieldStart("acted");
            for (AuditHistory.VersionSpan span : spans) {
                out.writeStartObject();
                out.writeStringField("pooler", span.pooler());
                out.writeStringField("version", span.version());
                out.writeNumberField("change", span.index());
                out.writeNumberField("from_us", span.fromMicros());
                out.writeNumberField("to_us", knownOrUnknown(span.toMicros()));
                out.writeBooleanField("known", span.ended());
                out.writeStringField("why", span.reason());
                out.writeEndObject();
            }
            out.writeEndArray();
            if (!spans.isEmpty()) {
                LongStream starts = spans.stream().mapToLong(AuditHistory.VersionSpan::fromMicros);
                LongStream ends = spans.stream().mapToLong(AuditHistory.VersionSpan::toMicros);
                out.writeNumberField("first_us", starts.min().getAsLong());
                out.writeNumberField("last_us", knownOrUnknown(ends.max().getAsLong()));
            }
            breaks(out, history);
        });
    }

    private static long knownOrUnknown(long endMicros) {
        return endMicros == Long.MAX_VALUE ? UNKNOWN_TIME : endMicros;
    }

    private static void breaks(JsonGenerator out, AuditHistory history) throws IOException {
        out.writeArrayFieldStart("chain_breaks");
        for (String broken : history.chainBreaks()) {
            out.writeString(broken);
        }
        out.writeEndArray();
    }
}
