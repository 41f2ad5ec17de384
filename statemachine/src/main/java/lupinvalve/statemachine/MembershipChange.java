package lupinvalve.statemachine;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how the group comes from the members that it has to those that an operator wants, one step at a time: a
 * newcomer first learns without a vote, a leader that is to go hands over first, and no step leaves a group that could
 * not decide anything any more.
 */
public final class MembershipChange {
    /** A newcomer votes once it lacks no more changes than this: the rest comes within a moment. */
    public static final long MAX_PROMOTION_LAG_ENTRIES = 500;

    private MembershipChange() {}

    /** What an operator wants of a member, by name. */
    public record Request(boolean add, String name) {}

    /**
     * The group as its leader sees it, by the last change of members that was accepted.
     *
     * @param changed which change of the history that was
     * @param strangers who is connected and of the cluster, but no member
     * @param inReach members heard of lately, the leader among them
     * @param matching up to which change each member has the history
     */
    public record GroupView(
            MemberId leader,
            Set<MemberId> voters,
            Set<MemberId> learners,
            Set<MemberId> nonMembers,
            Set<MemberId> reachable,
            Map<MemberId, Long> matchIndexes,
            long lastIndex,
            long membershipIndex) {}

    /** What to do next. */
    public sealed interface Step {
        record AddLearner(MemberId member) implements Step {}

        record PromoteToVoter(MemberId member) implements Step {}

        record RemoveMember(MemberId member) implements Step {}

        record TransferLeadership(MemberId successor) implements Step {}

        /** Something must happen by itself first. */
        record Wait(String reason) implements Step {}

        record Done() implements Step {}

        record Rejected(String reason) implements Step {}
    }

    public static Step nextStep(Request wish, GroupView view) {
        return wish.add() ? add(wish.name(), view) : remove(named(wish.name(), members(view)), view);
    }

    private static Step add(String name, GroupView view) {
        MemberId stranger = named(name, view.nonMembers());
        MemberId member = named(name, members(view));
        if (member != null && !view.reachable().contains(member)) {
            // If it came back with another disk, what it was is gone for good; until it shows nothing is known of it.
            return stranger != null
                    ? remove(member, view)
                    : new Step.Wait(name + " is a member and out of reach: start it");
        }
        if (member == null) {
            if (stranger == null) {
                return new Step.Rejected(name + " is not connected: start it with the same cluster and members first");
            }
            return members(view).size() >= MemberId.MAX_MEMBERS
                    ? new Step.Rejected("a group has " + MemberId.MAX_MEMBERS + " members at most")
                    : new Step.AddLearner(stranger);
        }
        if (view.voters().contains(member)) {
            // Should the leader go now, those left must know who votes, or they could wait for one who is not there.
            boolean heard = view.voters().stream()
                    .allMatch(one -> one.equals(view.leader())
                            || !view.reachable().contains(one)
                            || view.matchIndexes().getOrDefault(one, 0L) >= view.membershipIndex());
            return heard ? new Step.Done() : new Step.Wait("not all have heard of it yet");
        }
        return view.matchIndexes().getOrDefault(member, 0L) + MAX_PROMOTION_LAG_ENTRIES < view.lastIndex()
                ? new Step.Wait(name + " is still learning")
                : new Step.PromoteToVoter(member);
    }

    private static Step remove(MemberId member, GroupView view) {
        if (member == null) {
            return new Step.Done();
        }
        if (view.learners().contains(member) && !view.voters().contains(member)) {
            return new Step.RemoveMember(member);
        }
        Set<MemberId> left = new TreeSet<>(view.voters());
        left.remove(member);
        if (left.isEmpty()) {
            return new Step.Rejected(member.name() + " is the last member");
        }
        long alive = left.stream().filter(view.reachable()::contains).count();
        if (alive <= left.size() / 2) {
            return new Step.Rejected("without " + member.name() + " only " + alive + " of " + left.size()
                    + " members would be in reach, which is no majority");
        }
        if (!member.equals(view.leader())) {
            return new Step.RemoveMember(member);
        }
        MemberId best = null;
        for (MemberId one : left) {
            if (view.reachable().contains(one)
                    && (best == null
                            || view.matchIndexes().getOrDefault(one, 0L)
                                    > view.matchIndexes().getOrDefault(best, 0L))) {
                best = one;
            }
        }
        return new Step.TransferLeadership(best);
    }

    private static Set<MemberId> members(GroupView view) {
        Set<MemberId> all = new TreeSet<>(view.voters());
        all.addAll(view.learners());
        return all;
    }

    private static MemberId named(String name, Set<MemberId> among) {
        return among.stream().filter(one -> one.name().equals(name)).findFirst().orElse(null);
    }
}
