package lupinvalve.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AuditHistoryTest {
    private static final long SECOND_MICROS = 1_000_000;
    private final List<AuditEntry> entries = new ArrayList<>();

    private void addIncarnation(String pooler, long startMicros, Object... events) {
        AuditJournal journal = new AuditJournal(pooler, startMicros, 0);
        entries.addAll(journal.add(AuditEntry.Event.STARTED, "", 0, startMicros, ""));
        for (int i = 0; i < events.length; i += 3) {
            entries.addAll(journal.add(
                    (AuditEntry.Event) events[i],
                    (String) events[i + 1],
                    i,
                    (Integer) events[i + 2] * SECOND_MICROS,
                    ""));
        }
    }

    private static String describe(AuditHistory.VersionSpan span) {
        return span.version() + " " + span.fromMicros() / SECOND_MICROS + "-"
                + (span.toMicros() == AuditHistory.OPEN_END_MICROS ? "?" : span.toMicros() / SECOND_MICROS)
                + (span.ended() ? "" : "?");
    }

    private List<String> spans(String pooler) {
        return new AuditHistory(entries)
                .spansOf(pooler).stream().map(AuditHistoryTest::describe).toList();
    }

    @Test
    void bothVersionsMayBeInUseBetweenAdoptionAndTheEndOfTheOldOne() {
        addIncarnation(
                "p",
                0,
                AuditEntry.Event.ADOPTED,
                "1-a",
                1,
                AuditEntry.Event.CEASED_OTHERS,
                "1-a",
                2,
                AuditEntry.Event.ADOPTED,
                "2-b",
                10,
                AuditEntry.Event.CEASED_OTHERS,
                "2-b",
                11,
                AuditEntry.Event.ENDED,
                "2-b",
                20);
        assertEquals(List.of("1-a 1-11", "2-b 10-20"), spans("p"));
        AuditHistory history = new AuditHistory(entries);
        assertEquals(
                List.of("1-a", "2-b"),
                history.coverageAt(10 * SECOND_MICROS + 1).get(0).versions());
        assertTrue(history.coverageAt(10 * SECOND_MICROS + 1).get(0).certain());
        assertEquals(List.of(), history.coverageAt(21 * SECOND_MICROS).get(0).versions());
    }

    @Test
    void aFencedPoolerActsOnNoVersionUntilItsLeaseReturns() {
        addIncarnation(
                "p",
                0,
                AuditEntry.Event.ADOPTED,
                "1-a",
                1,
                AuditEntry.Event.CEASED_OTHERS,
                "1-a",
                1,
                AuditEntry.Event.FENCED,
                "1-a",
                5,
                AuditEntry.Event.CUT_OFF,
                "1-a",
                6,
                AuditEntry.Event.BACK,
                "1-a",
                7,
                AuditEntry.Event.ADOPTED,
                "2-b",
                8,
                AuditEntry.Event.CEASED_OTHERS,
                "2-b",
                8,
                AuditEntry.Event.RETURNED,
                "2-b",
                9);
        assertEquals(List.of("1-a 1-5", "2-b 9-??"), spans("p"));
    }

    @Test
    void coverageOfAFailedPoolerEndsAfterItsLastEntry() {
        addIncarnation("p", 0, AuditEntry.Event.ADOPTED, "1-a", 1, AuditEntry.Event.CEASED_OTHERS, "1-a", 1);
        assertEquals(List.of("1-a 1-??"), spans("p"));
        AuditHistory history = new AuditHistory(entries);
        assertTrue(history.coverageAt(2 * SECOND_MICROS).get(0).certain());
        assertFalse(history.coverageAt(60 * SECOND_MICROS).get(0).certain());
        assertEquals(
                "no entry since " + SECOND_MICROS + " us",
                history.coverageAt(60 * SECOND_MICROS).get(0).reason());
        assertEquals(
                List.of("1-a"), history.coverageAt(60 * SECOND_MICROS).get(0).versions(), "it may still act on it");
        addIncarnation("p", 30 * SECOND_MICROS, AuditEntry.Event.ADOPTED, "2-b", 31);
        assertEquals(List.of("1-a 1-30?", "2-b 31-??"), spans("p"), "the start of the next process ends the span");
    }

    @Test
    void orderAndDuplicatesDoNotMatterButMissingAndModifiedEntriesAreDetected() throws IOException {
        addIncarnation(
                "p",
                0,
                AuditEntry.Event.ADOPTED,
                "1-a",
                1,
                AuditEntry.Event.CEASED_OTHERS,
                "1-a",
                2,
                AuditEntry.Event.ADOPTED,
                "2-b",
                3);
        List<AuditEntry> complete = List.copyOf(entries);
        java.util.Collections.reverse(entries);
        entries.addAll(complete);
        assertEquals(List.of(), new AuditHistory(entries).chainBreaks());
        AuditEntry second = complete.get(1);
        assertEquals(second, AuditEntry.decode(second.encode()));
        List<AuditEntry> missing = new ArrayList<>(complete);
        missing.remove(second);
        assertEquals(List.of("p's entries 2 to 2 are missing"), new AuditHistory(missing).chainBreaks());
        List<AuditEntry> modified = new ArrayList<>(missing);
        modified.add(new AuditEntry(
                "p", 0, 2, second.event(), "9-z", second.index(), second.atMicros(), 0, "", second.previousDigest()));
        assertEquals(List.of("p's entry 3 does not follow from 2"), new AuditHistory(modified).chainBreaks());
    }

    @Test
    void entriesDroppedAtTheLimitAreSummarized() {
        AuditJournal journal = new AuditJournal("p", 1, 0);
        List<AuditEntry> all = new ArrayList<>();
        for (int i = 0; i <= AuditJournal.MAX_ENTRIES; i++) {
            all.addAll(journal.add(AuditEntry.Event.CUT_OFF, "", i, i, ""));
        }
        assertNull(AuditJournal.chainBreak(all));
        AuditEntry summary = all.get(AuditJournal.MAX_ENTRIES);
        assertEquals(AuditEntry.Event.DROPPED, summary.event());
        assertEquals("2000 entries from 1 on, of 0 to 1999 us, 2000 of them not delivered", summary.reason());
        assertEquals(2_002, journal.undelivered(10_000).size());
        journal.markDelivered(summary.number());
        assertEquals(1, journal.undelivered(10_000).size());
    }
}
