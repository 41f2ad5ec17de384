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
import lupinvalve.subscription.FollowState;
import org.junit.jupiter.api.Test;

/** What a subscriber keeps for its restart: the old or the new, whole, or nothing that is believed. */
class KeptDocumentTest {
    private static final String CLUSTER = "plant";
    private final SimulatedDisk disk = new SimulatedDisk();

    private static FollowState.Kept kept(long revision) {
        byte[] content = ("{\"revision\":" + revision + "}").getBytes(StandardCharsets.UTF_8);
        return new FollowState.Kept(
                new ReplicatedState.Document(revision, revision, ReplicatedState.digest(content), content),
                new TreeMap<>(Map.of(
                        new Command.DrainTarget(Command.TargetKind.NODE, "n" + revision),
                        new ReplicatedState.Drain("why", 7))),
                revision);
    }

    @Test
    void aFaultAtEachPointLeavesTheOldOrTheNew() throws IOException {
        FailPoints course = new FailPoints();
        course.setEnabled(true);
        twoLives(new SimulatedDisk(), course, null);
        List<FailPoints.PlannedFault> faults = FailPoints.allSingleFaults(course.reachedSteps());
        assertTrue(faults.size() >= 6, faults.toString());
        for (FailPoints.PlannedFault at : faults) {
            SimulatedDisk own = new SimulatedDisk();
            FailPoints points = new FailPoints(at);
            points.setEnabled(true);
            long seen = twoLives(own, points, new Random(at.point()));
            FollowState.Kept left = KeptDocument.read(own, CLUSTER);
            long revision = left.document() == null ? 0 : left.document().revision();
            assertTrue(revision >= seen && revision <= 2, at + ": " + revision + " after " + seen);
            assertEquals(
                    revision == 0
                            ? FollowState.Kept.NOTHING.holds()
                            : kept(revision).holds(),
                    left.holds(),
                    at.toString());
        }
    }

    /** Keeps one document, then, after a look at it, another; which one was surely kept. */
    private static long twoLives(SimulatedDisk disk, FailPoints points, Random crash) {
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
                KeptDocument.read(counted, CLUSTER);
                KeptDocument.write(counted, CLUSTER, kept(revision));
                sure = revision;
            } catch (IOException e) {
                // The subscriber goes on, or its process has ended.
            }
        }
        return sure;
    }

    @Test
    void whatIsTornOrChangedOrOfAnotherClusterIsNotBelieved() throws IOException {
        KeptDocument.write(disk, CLUSTER, kept(1));
        byte[] whole = disk.content(KeptDocument.FILE);
        assertArrayEquals(
                kept(1).document().content(),
                KeptDocument.read(disk, CLUSTER).document().content());
        for (int length = 0; length < whole.length; length++) {
            disk.put(KeptDocument.FILE, Arrays.copyOf(whole, length));
            assertThrows(IOException.class, () -> KeptDocument.read(disk, CLUSTER));
        }
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= (byte) (1 << at % 8);
            disk.put(KeptDocument.FILE, changed);
            assertThrows(IOException.class, () -> KeptDocument.read(disk, CLUSTER));
        }
        disk.put(KeptDocument.FILE, whole);
        assertEquals(
                "followed: of the cluster plant",
                assertThrows(IOException.class, () -> KeptDocument.read(disk, "another"))
                        .getMessage());
    }

    @Test
    void ofThoseThatWaitForTheDiskTheLastIsWrittenAndItIsClosedAfterwards() throws Exception {
        List<Runnable> waiting = new java.util.ArrayList<>();
        DocumentKeeper keeper = new DocumentKeeper(disk, CLUSTER, waiting::add);
        keeper.keep(kept(1));
        keeper.keep(kept(2));
        keeper.close();
        assertEquals(1, waiting.size());
        assertEquals(List.of(), disk.names(), "nobody has waited for the disk");
        assertTrue(!keeper.closedWithin(0));
        waiting.remove(0).run();
        assertEquals(2, KeptDocument.read(disk, CLUSTER).document().revision());
        assertTrue(keeper.closedWithin(0));
    }

    @Test
    void aDiskThatRenamesWithoutForcingIsFoundOut() throws IOException {
        disk.seededBug = FaultSweep.SeededBug.RENAME_WITHOUT_FORCE;
        KeptDocument.write(disk, CLUSTER, kept(1));
        disk.crash(new Random(3));
        assertThrows(IOException.class, () -> KeptDocument.read(disk, CLUSTER));
    }
}
