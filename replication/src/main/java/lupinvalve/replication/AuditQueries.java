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
 * Responds to operators' queries about which pooler served with which configuration version when, as JSON. Operators'
 * tools read the field names, so they must not change. Times are Unix times in microseconds, or -1 if not known.
 */
final class AuditQueries {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long UNKNOWN_MICROS = -1;
    private static final int INTERVAL_END_ARGUMENT = 2;

    private AuditQueries() {}

    /** Decodes entries; those encoded by a later version are skipped, and reported as gaps in the chain. */
    static AuditHistory history(Collection<byte[]> encodedEntries) {
        List<AuditEntry> entries = new ArrayList<>();
        for (byte[] bytes : encodedEntries) {
            try {
                entries.add(AuditEntry.decode(bytes));
            } catch (IOException e) {
                // Encoded by a later version: it can't be decoded here.
                continue;
            }
        }
        return new AuditHistory(entries);
    }

    /** The response to a query; throws InvalidRequestException if the query is malformed. */
    static String answer(AuditHistory history, List<String> query) throws InvalidRequestException {
        String kind = query.isEmpty() ? "" : query.get(0);
        String argument = query.size() > 1 ? query.get(1) : "";
        return switch (kind) {
            case "at" -> at(history, parseMicros(argument));
            case "pooler" -> spans(history, history.spansOf(argument));
            case "version" -> spans(history, history.spansUnder(argument));
            case "between" -> between(
                    history,
                    parseMicros(argument),
                    parseMicros(query.size() > INTERVAL_END_ARGUMENT ? query.get(INTERVAL_END_ARGUMENT) : ""));
            default -> throw new InvalidRequestException(
                    "audit at TIME, between T1 T2, pooler NAME or version V; not " + kind);
        };
    }

    /** A summary of a folder's audit entries, with the breaks in their chains. */
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
            writeChainBreaks(out, history);
        });
    }

    private static long parseMicros(String text) throws InvalidRequestException {
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
            writeChainBreaks(out, history);
        });
    }

    private static String between(AuditHistory history, long fromMicros, long toMicros) {
        List<AuditHistory.VersionSpan> overlapping = new ArrayList<>();
        history.poolers().forEach(pooler -> history.spansOf(pooler).stream()
                .filter(span -> span.fromMicros() < toMicros && span.toMicros() > fromMicros)
                .forEach(overlapping::add));
        return spans(history, overlapping);
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
                out.writeNumberField("to_us", knownEndMicros(span.toMicros()));
                out.writeBooleanField("known", span.ended());
                out.writeStringField("why", span.reason());
                out.writeEndObject();
            }
            out.writeEndArray();
            if (!spans.isEmpty()) {
                LongStream starts = spans.stream().mapToLong(AuditHistory.VersionSpan::fromMicros);
                LongStream ends = spans.stream().mapToLong(AuditHistory.VersionSpan::toMicros);
                out.writeNumberField("first_us", starts.min().getAsLong());
                out.writeNumberField("last_us", knownEndMicros(ends.max().getAsLong()));
            }
            writeChainBreaks(out, history);
        });
    }

    private static long knownEndMicros(long endMicros) {
        return endMicros == Long.MAX_VALUE ? UNKNOWN_MICROS : endMicros;
    }

    private static void writeChainBreaks(JsonGenerator out, AuditHistory history) throws IOException {
        out.writeArrayFieldStart("chain_breaks");
        for (String chainBreak : history.chainBreaks()) {
            out.writeString(chainBreak);
        }
        out.writeEndArray();
    }
}
