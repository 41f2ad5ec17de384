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

    private static Announcement alone(String name, int disk) {
        return new Announcement(new MemberId(name, "d" + disk), Phase.UNBOUND, Set.of());
    }

    /** Members that hear each other's words late, in any order, that restart, and that lose their disks. */
    @Test
    void neverAreTwoGroupsFounded() {
        int founded = 0;
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            Map<String, ClusterBootstrap> members = new TreeMap<>();
            NAMES.forEach(name -> members.put(name, new ClusterBootstrap(alone(name, 0), NAMES)));
            Set<Set<MemberId>> groups = new HashSet<>();
            List<Announcement> words = new ArrayList<>();
            int disks = 0;
            for (int step = 0; step < 60; step++) {
                String name = List.of("a", "b", "c").get(random.nextInt(3));
                ClusterBootstrap member = members.get(name);
                int what = random.nextInt(20);
                if (what == 0 && disks < 2) {
                    members.put(name, new ClusterBootstrap(alone(name, ++disks), NAMES));
                } else if (what == 1) {
                    members.put(name, new ClusterBootstrap(member.own(), NAMES));
                } else if (what < 8) {
                    words.add(member.own());
                } else if (!words.isEmpty()) {
                    // Links keep words in order, but an old one may be the last that was heard of a disk that is gone.
                    Announcement word = words.get(Math.max(0, words.size() - 1 - random.nextInt(6)));
                    if (!word.member().name().equals(name)) {
                        member.onAnnouncement(word);
                    }
                }
                members.values().stream()
                        .map(ClusterBootstrap::own)
                        .filter(w -> w.phase() == Phase.BOOTSTRAPPED)
                        .forEach(w -> groups.add(w.founders()));
            }
            assertTrue(groups.size() <= 1, "seed " + seed + ": " + groups);
            founded += groups.size();
        }
        assertTrue(founded > 1000, "it is founded as a rule: " + founded);
    }

    @Test
    void allFoundersAreNeededAndALostDiskMakesANewcomer() {
        ClusterBootstrap a = new ClusterBootstrap(alone("a", 1), NAMES);
        a.onAnnouncement(alone("b", 1));
        assertEquals("not heard of c", a.pendingReason());
        assertEquals(Phase.UNBOUND, a.own().phase());
        a.onAnnouncement(alone("c", 1));
        assertEquals(Phase.BOUND, a.own().phase());
        a.onAnnouncement(
                new Announcement(new MemberId("b", "d1"), Phase.BOUND, a.own().founders()));
        assertEquals(Phase.BOUND, a.own().phase());
        a.onAnnouncement(
                new Announcement(new MemberId("c", "d1"), Phase.BOUND, a.own().founders()));
        assertEquals(Phase.BOOTSTRAPPED, a.own().phase());
        ClusterBootstrap again = new ClusterBootstrap(alone("c", 2), NAMES);
        again.onAnnouncement(a.own());
        assertEquals(Phase.JOINING, again.own().phase());
        assertEquals(a.own().founders(), again.own().founders());
        assertEquals(
                Phase.BOOTSTRAPPED,
                new ClusterBootstrap(alone("x", 1), Set.of("x")).own().phase());
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
            boolean in, String name, String voting, String learning, String strangers, String reach, long behind) {
        return MembershipChange.nextStep(
                new MembershipChange.Request(in, name),
                new MembershipChange.GroupView(
                        id("a"),
                        ids(voting),
                        ids(learning),
                        ids(strangers),
                        ids(reach),
                        Map.of(id("b"), 996L, id("c"), 1000L, id("n"), 1000 - behind),
                        1000,
                        995));
    }

    @Test
    void newcomersLearnBeforeTheyVoteAndNoStepLosesTheMajority() {
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
