package lupinvalve.replication;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import lupinvalve.audit.Course;
import lupinvalve.audit.Entry;

/**
 * What operators are told of who acted on what when. Times are Unix times in microseconds; -1 for one that is not
 * known.
 */
final class AuditQueries {
    private AuditQueries() {}

    /** Reads entries; one of a later version is left out and counted. */
    static Course course(Collection<byte[]> noted) {
        List<Entry> entries = new ArrayList<>();
        for (byte[] bytes : noted) {
            try {
                entries.add(Entry.read(bytes));
            } catch (IOException e) {
                // Of a later program: what it says is not known here, and so shows as missing.
                continue;
            }
        }
        return new Course(entries);
    }

    /** An answer; throws IOException where the question is none. */
    static String answer(Course course, List<String> question) throws IOException {
        String kind = question.isEmpty() ? "" : question.get(0);
        String what = question.size() > 1 ? question.get(1) : "";
        return switch (kind) {
            case "at" -> at(course, micros(what));
            case "pooler" -> acted(course, course.of(what));
            case "version" -> acted(course, course.version(what));
            case "between" -> between(course, micros(what), micros(question.size() > 2 ? question.get(2) : ""));
            default -> throw new IOException("audit at TIME, between T1 T2, pooler NAME or version V; not " + kind);
        };
    }

    /** What stands in a folder, and whether it is whole. */
    static String verified(List<Entry> entries) {
        Course course = new Course(entries);
        return Json.object(out -> {
            out.writeNumberField("entries", entries.size());
            out.writeNumberField(
                    "lives", entries.stream().map(Entry::life).distinct().count());
            out.writeArrayFieldStart("acted");
            for (String pooler : course.poolers()) {
                for (Course.Acted one : course.of(pooler)) {
                    out.writeString(one.version() + " from " + one.from() + " to "
                            + (one.to() == Long.MAX_VALUE ? "not known" : one.to()) + " us"
                            + (one.why().isEmpty() ? "" : ", " + one.why()));
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

    private static String at(Course course, long micros) {
        return Json.object(out -> {
            out.writeNumberField("at_us", micros);
            out.writeArrayFieldStart("poolers");
            for (Course.Known known : course.at(micros)) {
                out.writeStartObject();
                out.writeStringField("pooler", known.pooler());
                out.writeStringField("acted_on", String.join(", ", known.versions()));
                out.writeBooleanField("known", known.sure());
                out.writeStringField("why", known.why());
                out.writeEndObject();
            }
            out.writeEndArray();
            breaks(out, course);
        });
    }

    private static String between(Course course, long from, long to) {
        List<Course.Acted> all = new ArrayList<>();
        course.poolers().forEach(pooler -> course.of(pooler).stream()
                .filter(a -> a.from() < to && a.to() > from)
                .forEach(all::add));
        return acted(course, all);
    }

    private static String acted(Course course, List<Course.Acted> all) {
        return Json.object(out -> {
            out.writeArrayFieldStart("acted");
            for (Course.Acted one : all) {
                out.writeStartObject();
                out.writeStringField("pooler", one.pooler());
                out.writeStringField("version", one.version());
                out.writeNumberField("change", one.index());
                out.writeNumberField("from_us", one.from());
                out.writeNumberField("to_us", one.to() == Long.MAX_VALUE ? -1 : one.to());
                out.writeBooleanField("known", one.ended());
                out.writeStringField("why", one.why());
                out.writeEndObject();
            }
            out.writeEndArray();
            if (!all.isEmpty()) {
                out.writeNumberField(
                        "first_us",
                        all.stream().mapToLong(Course.Acted::from).min().getAsLong());
                boolean open = all.stream().anyMatch(a -> a.to() == Long.MAX_VALUE);
                out.writeNumberField(
                        "last_us",
                        open
                                ? -1
                                : all.stream().mapToLong(Course.Acted::to).max().getAsLong());
            }
            breaks(out, course);
        });
    }

    private static void breaks(com.fasterxml.jackson.core.JsonGenerator out, Course course) throws IOException {
        out.writeArrayFieldStart("chain_breaks");
        for (String broken : course.breaks()) {
            out.writeString(broken);
        }
        out.writeEndArray();
    }
}
