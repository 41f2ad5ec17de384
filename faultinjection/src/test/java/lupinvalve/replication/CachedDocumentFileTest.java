package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.SubscriberState;
import org.junit.jupiter.api.Test;

/** What a subscriber caches for its restart: the old state or the new one, complete, or an error. */
class CachedDocumentFileTest {
    private static final String CLUSTER = "plant";
    private final SimulatedDisk disk = new SimulatedDisk();

    private static SubscriberState.Cached cached(long revision) {
        byte[] content = ("{\"revision\":" + revision + "}").getBytes(StandardCharsets.UTF_8);
        return new SubscriberState.Cached(
                new ReplicatedState.Document(revision, revision, ReplicatedState.digest(content), content),
                new TreeMap<>(Map.of(
                        new Command.DrainTarget(Command.TargetKind.NODE, "n" + revision),
                        new ReplicatedState.Drain("why", 7))),
                revision);
    }

    @Test
    void aFaultAtEachPointLeavesTheOldOrTheNew() throws IOException {
        FailPoints counted = new FailPoints();
        counted.setEnabled(true);
        twoWrites(new SimulatedDisk(), counted, null);
        List<FailPoints.PlannedFault> faults = FailPoints.allSingleFaults(counted.reachedSteps());
        assertTrue(faults.size() >= 6, faults.toString());
        for (FailPoints.PlannedFault at : faults) {
            SimulatedDisk own = new SimulatedDisk();
            FailPoints points = new FailPoints(at);
            points.setEnabled(true);
            long seen = twoWrites(own, points, new Random(at.point()));
            SubscriberState.Cached left = CachedDocumentFile.read(own, CLUSTER);
            long revision = left.document() == null ? 0 : left.document().revision();
            assertTrue(revision >= seen && revision <= 2, at + ": " + revision + " after " + seen);
            assertEquals(
                    revision == 0
                            ? SubscriberState.Cached.EMPTY.drains()
                            : cached(revision).drains(),
                    left.drains(),
                    at.toString());
        }
    }

    /** Writes one state, reads it, and writes another; returns the revision that was surely written. */
    private static long twoWrites(SimulatedDisk disk, FailPoints points, Random crash) {
        boolean[] over = new boolean[1];
        Disk counted = new FailPointDisk(disk, points::nextFault, new FailPointDisk.Process() {
            @Override
            public boolean hasEnded() {
                return over[0];
            }

            @Override
            public void end(FailPoints.Fault fault) {
                over[0] = true;
                if (crash != null) {
                    disk.crash(crash);
                }
            }
        });
        long sure = 0;
        for (long revision = 1; revision <= 2; revision++) {
            try {
                CachedDocumentFile.read(counted, CLUSTER);
                CachedDocumentFile.write(counted, CLUSTER, cached(revision));
                sure = revision;
            } catch (IOException e) {
                // The subscriber goes on, or its process has ended.
            }
        }
        return sure;
    }

    @Test
    void whatIsTornOrChangedOrOfAnotherClusterIsAnError() throws IOException {
        CachedDocumentFile.write(disk, CLUSTER, cached(1));
        byte[] whole = disk.content(CachedDocumentFile.NAME);
        assertArrayEquals(
                cached(1).document().content(),
                CachedDocumentFile.read(disk, CLUSTER).document().content());
        for (int length = 0; length < whole.length; length++) {
            disk.put(CachedDocumentFile.NAME, Arrays.copyOf(whole, length));
            assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, CLUSTER));
        }
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= (byte) (1 << at % 8);
            disk.put(CachedDocumentFile.NAME, changed);
            assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, CLUSTER));
        }
        disk.put(CachedDocumentFile.NAME, whole);
        assertEquals(
                "followed: the file belongs to cluster plant, expected another",
                assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, "another"))
                        .getMessage());
    }

    @Test
    void ofThoseThatWaitForTheDiskTheLastIsWrittenAndItIsClosedAfterwards() throws Exception {
        List<Runnable> waiting = new java.util.ArrayList<>();
        CachedDocumentWriter writer = new CachedDocumentWriter(disk, CLUSTER, waiting::add);
        writer.write(cached(1));
        writer.write(cached(2));
        writer.close();
        assertEquals(1, waiting.size());
        assertEquals(List.of(), disk.names(), "nobody has waited for the disk");
        assertTrue(!writer.awaitClosed(0));
        waiting.remove(0).run();
        assertEquals(2, CachedDocumentFile.read(disk, CLUSTER).document().revision());
        assertTrue(writer.awaitClosed(0));
    }

    @Test
    void aDiskThatRenamesWithoutForcingIsFoundOut() throws IOException {
        disk.seededBug = FaultSweep.SeededBug.RENAME_WITHOUT_FORCE;
        CachedDocumentFile.write(disk, CLUSTER, cached(1));
        disk.crash(new Random(3));
        assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, CLUSTER));
    }
}
