package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import lupinvalve.audit.AuditEntry;
import lupinvalve.audit.AuditHistory;

/**
 * What operators are told of who acted on what when. Times are Unix times in microseconds; -1 for one that is not
 * known.
 */
final class AuditQueries {
    private AuditQueries() {}

    /** Reads entries; one of a later version is left out and counted. */
    static AuditHistory course(Collection<byte[]> noted) {
        List<AuditEntry> entries = new ArrayList<>();
        for (byte[] bytes : noted) {
            try {
                entries.add(AuditEntry.decode(bytes));
            } catch (IOException e) {
                // Of a later program: what it says is not known here, and so shows as missing.
                continue;
            }
        }
        return new AuditHistory(entries);
    }

    /** An answer; throws IOException where the question is none. */
    static String answer(AuditHistory course, List<String> question) throws IOException {
        String kind = question.isEmpty() ? "" : question.get(0);
        String what = question.size() > 1 ? question.get(1) : "";
        return switch (kind) {
            case "at" -> at(course, micros(what));
            case "pooler" -> acted(course, course.spansOf(what));
            case "version" -> acted(course, course.spansUnder(what));
            case "between" -> between(course, micros(what), micros(question.size() > 2 ? question.get(2) : ""));
            default -> throw new IOException("audit at TIME, between T1 T2, pooler NAME or version V; not " + kind);
        };
    }

    /** What stands in a folder, and whether it is whole. */
    static String verified(List<AuditEntry> entries) {
        AuditHistory course = new AuditHistory(entries);
        return Json.object(out -> {
            out.writeNumberField("entries", entries.size());
            out.writeNumberField(
                    "lives",
                    entries.stream().map(AuditEntry::incarnation).distinct().count());
            out.writeArrayFieldStart("acted");
            for (String pooler : course.poolers()) {
                for (AuditHistory.VersionSpan one : course.spansOf(pooler)) {
                    out.writeString(one.version() + " from " + one.fromMicros() + " to "
                            + (one.toMicros() == Long.MAX_VALUE ? "not known" : one.toMicros()) + " us"
                            + (one.reason().isEmpty() ? "" : ", " + one.reason()));
                }
            }
            out.writeEndArray();
            breaks(out, course);
        });
    }

    private static long micros(String text) throws IOException {
        try {
            return text.matches("[0-9]+")
                    ? Long.parseLong(text)
                    : java.time.Instant.parse(text).toEpochMilli() * 1000;
        } catch (RuntimeException e) {
            throw new IOException("no time: " + text + "; a Unix time in microseconds, or 2026-01-31T12:00:00Z");
        }
    }

    private static String at(AuditHistory course, long micros) {
        return Json.object(out -> {
            out.writeNumberField("at_us", micros);
            out.writeArrayFieldStart("poolers");
            for (AuditHistory.Coverage known : course.coverageAt(micros)) {
                out.writeStartObject();
                out.writeStringField("pooler", known.pooler());
                out.writeStringField("acted_on", String.join(", ", known.versions()));
                out.writeBooleanField("known", known.certain());
                out.writeStringField("why", known.reason());
                out.writeEndObject();
            }
            out.writeEndArray();
            breaks(out, course);
        });
    }

    private static String between(AuditHistory course, long from, long to) {
        List<AuditHistory.VersionSpan> all = new ArrayList<>();
        course.poolers().forEach(pooler -> course.spansOf(pooler).stream()
                .filter(a -> a.fromMicros() < to && a.toMicros() > from)
                .forEach(all::add));
        return acted(course, all);
    }

    private static String acted(AuditHistory course, List<AuditHistory.VersionSpan> all) {
        return Json.object(out -> {
            out.writeArrayFieldStart("acted");
            for (AuditHistory.VersionSpan one : all) {
                out.writeStartObject();
                out.writeStringField("pooler", one.pooler());
                out.writeStringField("version", one.version());
                out.writeNumberField("change", one.index());
                out.writeNumberField("from_us", one.fromMicros());
                out.writeNumberField("to_us", one.toMicros() == Long.MAX_VALUE ? -1 : one.toMicros());
                out.writeBooleanField("known", one.ended());
                out.writeStringField("why", one.reason());
                out.writeEndObject();
            }
            out.writeEndArray();
            if (!all.isEmpty()) {
                out.writeNumberField(
                        "first_us",
                        all.stream()
                                .mapToLong(AuditHistory.VersionSpan::fromMicros)
                                .min()
                                .getAsLong());
                boolean open = all.stream().anyMatch(a -> a.toMicros() == Long.MAX_VALUE);
                out.writeNumberField(
                        "last_us",
                        open
                                ? -1
                                : all.stream()
                                        .mapToLong(AuditHistory.VersionSpan::toMicros)
                                        .max()
                                        .getAsLong());
            }
            breaks(out, course);
        });
    }

    private static void breaks(com.fasterxml.jackson.core.JsonGenerator out, AuditHistory course) throws IOException {
        out.writeArrayFieldStart("chain_breaks");
        for (String broken : course.chainBreaks()) {
            out.writeString(broken);
        }
        out.writeEndArray();
    }
}
