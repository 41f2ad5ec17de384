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

    /** Members that get each other's announcements late, in any order, that restart, and that lose their disks. */
    @Test
    void neverAreTwoGroupsBootstrapped() {
        int bootstrapped = 0;
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            Map<String, ClusterBootstrap> members = new TreeMap<>();
            NAMES.forEach(name -> members.put(name, new ClusterBootstrap(unbound(name, 0), NAMES)));
            Set<Set<MemberId>> groups = new HashSet<>();
            List<Announcement> announcements = new ArrayList<>();
            int disks = 0;
            for (int step = 0; step < 60; step++) {
                String name = List.of("a", "b", "c").get(random.nextInt(3));
                ClusterBootstrap member = members.get(name);
                int what = random.nextInt(20);
                if (what == 0 && disks < 2) {
                    members.put(name, new ClusterBootstrap(unbound(name, ++disks), NAMES));
                } else if (what == 1) {
                    members.put(name, new ClusterBootstrap(member.own(), NAMES));
                } else if (what < 8) {
                    announcements.add(member.own());
                } else if (!announcements.isEmpty()) {
                    // Links keep announcements in order, but an old one may be the last that was heard of a disk that
                    // is gone.
                    Announcement announcement =
                            announcements.get(Math.max(0, announcements.size() - 1 - random.nextInt(6)));
                    if (!announcement.member().name().equals(name)) {
                        member.onAnnouncement(announcement);
                    }
                }
                members.values().stream()
                        .map(ClusterBootstrap::own)
                        .filter(one -> one.phase() == Phase.BOOTSTRAPPED)
                        .forEach(one -> groups.add(one.founders()));
            }
            assertTrue(groups.size() <= 1, "seed " + seed + ": " + groups);
            bootstrapped += groups.size();
        }
        assertTrue(bootstrapped > 1000, "it is bootstrapped as a rule: " + bootstrapped);
    }

    @Test
    void allFoundersAreNeededAndAMemberThatLostItsDiskJoinsAnew() {
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
        ClusterBootstrap returned = new ClusterBootstrap(unbound("c", 2), NAMES);
        returned.onAnnouncement(first.own());
        assertEquals(Phase.JOINING, returned.own().phase());
        assertEquals(first.own().founders(), returned.own().founders());
        assertEquals(
                Phase.BOOTSTRAPPED,
                new ClusterBootstrap(unbound("x", 1), Set.of("x")).own().phase());
    }

    private static MemberId id(String name) {
        return new MemberId(name, "d1");
    }

    private static Set<MemberId> ids(String names) {
        Set<MemberId> all = new TreeSet<>();
        names.chars().forEach(c -> all.add(id("" + (char) c)));
        return all;
    }

    private static MembershipChange.Step next(
            boolean add, String name, String voters, String learners, String nonMembers, String reachable, long lag) {
        return MembershipChange.nextStep(
                new MembershipChange.Request(add, name),
                new MembershipChange.GroupView(
                        id("a"),
                        ids(voters),
                        ids(learners),
                        ids(nonMembers),
                        ids(reachable),
                        Map.of(id("b"), 996L, id("c"), 1000L, id("n"), 1000 - lag),
                        1000,
                        995));
    }

    @Test
    void newMembersLearnBeforeTheyVoteAndNoStepLosesTheQuorum() {
        assertInstanceOf(MembershipChange.Step.Rejected.class, next(true, "n", "abc", "", "", "abc", 0));
        assertEquals(new MembershipChange.Step.AddLearner(id("n")), next(true, "n", "abc", "", "n", "abcn", 0));
        assertInstanceOf(MembershipChange.Step.Wait.class, next(true, "n", "abc", "n", "", "abcn", 900));
        assertEquals(new MembershipChange.Step.PromoteToVoter(id("n")), next(true, "n", "abc", "n", "", "abcn", 10));
        assertInstanceOf(
                MembershipChange.Step.Wait.class, next(true, "n", "abcn", "", "", "abcn", 10), "it has not heard");
        assertInstanceOf(MembershipChange.Step.Done.class, next(true, "n", "abcn", "", "", "abcn", 0));
        assertInstanceOf(
                MembershipChange.Step.Wait.class,
                next(true, "c", "abc", "", "", "ab", 0),
                "its new disk is not here yet");
        assertInstanceOf(MembershipChange.Step.Done.class, next(false, "n", "abc", "", "", "abc", 0));
        assertEquals(new MembershipChange.Step.RemoveMember(id("b")), next(false, "b", "abc", "", "", "ac", 0));
        assertInstanceOf(MembershipChange.Step.Rejected.class, next(false, "b", "abc", "", "", "ab", 0));
        assertInstanceOf(MembershipChange.Step.Rejected.class, next(false, "a", "a", "", "", "a", 0));
        assertEquals(new MembershipChange.Step.TransferLeadership(id("c")), next(false, "a", "abc", "", "", "abc", 0));
        assertEquals(new MembershipChange.Step.RemoveMember(id("n")), next(false, "n", "abc", "n", "", "ab", 0));
    }

    @Test
    void aMemberThatLostItsDiskIsReplacedByWhatItIsNow() {
        MembershipChange.GroupView view = new MembershipChange.GroupView(
                id("a"), ids("abc"), Set.of(), Set.of(new MemberId("c", "d2")), ids("ab"), Map.of(), 10, 5);
        assertEquals(
                new MembershipChange.Step.RemoveMember(id("c")),
                MembershipChange.nextStep(new MembershipChange.Request(true, "c"), view));
    }
}
