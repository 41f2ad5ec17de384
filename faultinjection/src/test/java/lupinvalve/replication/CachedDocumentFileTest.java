package lupinvalve.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

/**
 * A subscriber's cache file: after a fault it has the old state or the new one, complete, and a damaged or foreign file
 * is rejected.
 */
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
    void aFaultAtAnyPointLeavesTheOldOrTheNewState() throws IOException {
        FailPoints counted = new FailPoints();
        counted.setEnabled(true);
        writeTwice(new SimulatedDisk(), counted, null);
        List<FailPoints.PlannedFault> faults = FailPoints.allSingleFaults(counted.reachedSteps());
        assertTrue(faults.size() >= 6, faults.toString());
        for (FailPoints.PlannedFault at : faults) {
            SimulatedDisk faultyDisk = new SimulatedDisk();
            FailPoints points = new FailPoints(at);
            points.setEnabled(true);
            long writtenRevision = writeTwice(faultyDisk, points, new Random(at.point()));
            SubscriberState.Cached cachedState = CachedDocumentFile.read(faultyDisk, CLUSTER);
            long revision =
                    cachedState.document() == null ? 0 : cachedState.document().revision();
            assertTrue(
                    revision >= writtenRevision && revision <= 2,
                    at + ": read revision " + revision + " after writing " + writtenRevision);
            assertEquals(
                    revision == 0
                            ? SubscriberState.Cached.EMPTY.drains()
                            : cached(revision).drains(),
                    cachedState.drains(),
                    at.toString());
        }
    }

    /** Reads the file and writes a state, twice; returns the revision of the last write that succeeded, or 0. */
    private static long writeTwice(SimulatedDisk disk, FailPoints points, Random crashRandom) {
        boolean[] processEnded = new boolean[1];
        Disk counted = new FailPointDisk(disk, points::nextFault, new FailPointDisk.Process() {
            @Override
            public boolean hasEnded() {
                return processEnded[0];
            }

            @Override
            public void end(FailPoints.Fault fault) {
                processEnded[0] = true;
                if (crashRandom != null) {
                    disk.crash(crashRandom);
                }
            }
        });
        long writtenRevision = 0;
        for (long revision = 1; revision <= 2; revision++) {
            try {
                CachedDocumentFile.read(counted, CLUSTER);
                CachedDocumentFile.write(counted, CLUSTER, cached(revision));
                writtenRevision = revision;
            } catch (IOException e) {
                // The subscriber continues without its cache, or the process has ended and all further calls fail.
            }
        }
        return writtenRevision;
    }

    @Test
    void readingATruncatedOrModifiedFileOrOneOfAnotherClusterFails() throws IOException {
        CachedDocumentFile.write(disk, CLUSTER, cached(1));
        byte[] intact = disk.content(CachedDocumentFile.NAME);
        assertArrayEquals(
                cached(1).document().content(),
                CachedDocumentFile.read(disk, CLUSTER).document().content());
        for (int length = 0; length < intact.length; length++) {
            disk.put(CachedDocumentFile.NAME, Arrays.copyOf(intact, length));
            assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, CLUSTER));
        }
        for (int at = 0; at < intact.length; at++) {
            byte[] changed = intact.clone();
            changed[at] ^= (byte) (1 << at % 8);
            disk.put(CachedDocumentFile.NAME, changed);
            assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, CLUSTER));
        }
        disk.put(CachedDocumentFile.NAME, intact);
        assertEquals(
                "followed: the file belongs to cluster plant, expected another",
                assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, "another"))
                        .getMessage());
    }

    @Test
    void onlyTheLatestPendingStateIsWrittenAndTheDiskIsClosedAfterwards() throws Exception {
        List<Runnable> pendingTasks = new ArrayList<>();
        CachedDocumentWriter writer = new CachedDocumentWriter(disk, CLUSTER, pendingTasks::add);
        writer.write(cached(1));
        writer.write(cached(2));
        writer.close();
        assertEquals(1, pendingTasks.size());
        assertEquals(List.of(), disk.names(), "nothing is written before the executor runs the task");
        assertTrue(!writer.awaitClosed(0));
        pendingTasks.remove(0).run();
        assertEquals(2, CachedDocumentFile.read(disk, CLUSTER).document().revision());
        assertTrue(writer.awaitClosed(0));
    }

    @Test
    void aRenameWithoutForceIsDetected() throws IOException {
        disk.seededBug = FaultSweep.SeededBug.RENAME_WITHOUT_FORCE;
        CachedDocumentFile.write(disk, CLUSTER, cached(1));
        disk.crash(new Random(3));
        assertThrows(IOException.class, () -> CachedDocumentFile.read(disk, CLUSTER));
    }
}
