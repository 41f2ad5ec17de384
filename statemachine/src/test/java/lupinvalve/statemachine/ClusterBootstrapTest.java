package lupinvalve.statemachine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinvalve.statemachine.ClusterBootstrap.Announcement;
import lupinvalve.statemachine.ClusterBootstrap.Phase;
import org.junit.jupiter.api.Test;

class ClusterBootstrapTest {
    private static final Set<String> NAMES = Set.of("a", "b", "c");

    private static Announcement unbound(String name, int disk) {
        return new Announcement(new MemberId(name, "d" + disk), Phase.UNBOUND, Set.of());
    }

    /** Members receive announcements late and out of date, restart, and lose their disks. */
    @Test
    void atMostOneGroupIsBootstrapped() {
        int bootstrappedCount = 0;
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            Map<String, ClusterBootstrap> members = new TreeMap<>();
            NAMES.forEach(name -> members.put(name, new ClusterBootstrap(unbound(name, 0), NAMES)));
            Set<Set<MemberId>> groups = new HashSet<>();
            List<Announcement> announcements = new ArrayList<>();
            int replacedDiskCount = 0;
            for (int step = 0; step < 60; step++) {
                String name = List.of("a", "b", "c").get(random.nextInt(3));
                ClusterBootstrap member = members.get(name);
                int action = random.nextInt(20);
                if (action == 0 && replacedDiskCount < 2) {
                    members.put(name, new ClusterBootstrap(unbound(name, ++replacedDiskCount), NAMES));
                } else if (action == 1) {
                    members.put(name, new ClusterBootstrap(member.own(), NAMES));
                } else if (action < 8) {
                    announcements.add(member.own());
                } else if (!announcements.isEmpty()) {
                    // Connections keep the order of announcements, but the last one of a lost disk may be outdated.
                    Announcement announcement =
                            announcements.get(Math.max(0, announcements.size() - 1 - random.nextInt(6)));
                    if (!announcement.member().name().equals(name)) {
                        member.onAnnouncement(announcement);
                    }
                }
                members.values().stream()
                        .map(ClusterBootstrap::own)
                        .filter(announcement -> announcement.phase() == Phase.BOOTSTRAPPED)
                        .forEach(announcement -> groups.add(announcement.founders()));
            }
            assertTrue(groups.size() <= 1, "seed " + seed + ": " + groups);
            bootstrappedCount += groups.size();
        }
        assertTrue(bootstrappedCount > 1000, "too few groups were bootstrapped: " + bootstrappedCount);
    }

    @Test
    void bootstrapNeedsAllFoundersAndAMemberThatLostItsDiskMustJoin() {
        ClusterBootstrap first = new ClusterBootstrap(unbound("a", 1), NAMES);
        first.onAnnouncement(unbound("b", 1));
        assertEquals("not heard of c", first.pendingReason());
        assertEquals(Phase.UNBOUND, first.own().phase());
        first.onAnnouncement(unbound("c", 1));
        assertEquals(Phase.BOUND, first.own().phase());
        first.onAnnouncement(new Announcement(
                new MemberId("b", "d1"), Phase.BOUND, first.own().founders()));
        assertEquals(Phase.BOUND, first.own().phase());
        first.onAnnouncement(new Announcement(
                new MemberId("c", "d1"), Phase.BOUND, first.own().founders()));
        assertEquals(Phase.BOOTSTRAPPED, first.own().phase());
        ClusterBootstrap restarted = new ClusterBootstrap(unbound("c", 2), NAMES);
        restarted.onAnnouncement(first.own());
        assertEquals(Phase.JOINING, restarted.own().phase());
        assertEquals(first.own().founders(), restarted.own().founders());
        assertEquals(
                Phase.BOOTSTRAPPED,
                new ClusterBootstrap(unbound("x", 1), Set.of("x")).own().phase());
    }

    private static MemberId memberId(String name) {
        return new MemberId(name, "d1");
    }

    private static Set<MemberId> memberIds(String names) {
        Set<MemberId> members = new TreeSet<>();
        names.chars().forEach(letter -> members.add(memberId("" + (char) letter)));
        return members;
    }

    private static MembershipChange.Step nextStep(
            boolean add, String name, String voters, String learners, String nonMembers, String reachable, long lag) {
        return MembershipChange.nextStep(
                new MembershipChange.Request(add, name),
                new MembershipChange.GroupView(
                        memberId("a"),
                        memberIds(voters),
                        memberIds(learners),
                        memberIds(nonMembers),
                        memberIds(reachable),
                        Map.of(memberId("b"), 996L, memberId("c"), 1000L, memberId("n"), 1000 - lag),
                        1000,
                        995));
    }

    @Test
    void newMembersStartAsLearnersAndEveryStepKeepsAQuorum() {
        assertInstanceOf(MembershipChange.Step.Rejected.class, nextStep(true, "n", "abc", "", "", "abc", 0));
        assertEquals(
                new MembershipChange.Step.AddLearner(memberId("n")), nextStep(true, "n", "abc", "", "n", "abcn", 0));
        assertInstanceOf(MembershipChange.Step.Wait.class, nextStep(true, "n", "abc", "n", "", "abcn", 900));
        assertEquals(
                new MembershipChange.Step.PromoteToVoter(memberId("n")),
                nextStep(true, "n", "abc", "n", "", "abcn", 10));
        assertInstanceOf(
                MembershipChange.Step.Wait.class,
                nextStep(true, "n", "abcn", "", "", "abcn", 10),
                "it has not replicated the membership change yet");
        assertInstanceOf(MembershipChange.Step.Done.class, nextStep(true, "n", "abcn", "", "", "abcn", 0));
        assertInstanceOf(
                MembershipChange.Step.Wait.class,
                nextStep(true, "c", "abc", "", "", "ab", 0),
                "it is not reachable and has not connected with a new disk");
        assertInstanceOf(MembershipChange.Step.Done.class, nextStep(false, "n", "abc", "", "", "abc", 0));
        assertEquals(
                new MembershipChange.Step.RemoveMember(memberId("b")), nextStep(false, "b", "abc", "", "", "ac", 0));
        assertInstanceOf(MembershipChange.Step.Rejected.class, nextStep(false, "b", "abc", "", "", "ab", 0));
        assertInstanceOf(MembershipChange.Step.Rejected.class, nextStep(false, "a", "a", "", "", "a", 0));
        assertEquals(
                new MembershipChange.Step.TransferLeadership(memberId("c")),
                nextStep(false, "a", "abc", "", "", "abc", 0));
        assertEquals(
                new MembershipChange.Step.RemoveMember(memberId("n")), nextStep(false, "n", "abc", "n", "", "ab", 0));
    }

    @Test
    void aMemberThatLostItsDiskIsRemovedBeforeItIsAddedAgain() {
        MembershipChange.GroupView view = new MembershipChange.GroupView(
                memberId("a"),
                memberIds("abc"),
                Set.of(),
                Set.of(new MemberId("c", "d2")),
                memberIds("ab"),
                Map.of(),
                10,
                5);
        assertEquals(
                new MembershipChange.Step.RemoveMember(memberId("c")),
                MembershipChange.nextStep(new MembershipChange.Request(true, "c"), view));
    }
}
