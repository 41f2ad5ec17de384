package lupinvalve.statemachine;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides how the group comes from the members that it has to those that an operator wants, one step at a time: a
 * newcomer first learns without a vote, a leader that is to go hands over first, and no step leaves a group that could
 * not decide anything any more.
 */
public final class Membership {
    /** A newcomer votes once it lacks no more changes than this: the rest comes within a moment. */
    public static final long BEHIND_MOST = 500;

    private Membership() {}

    /** What an operator wants of a member, by name. */
    public record Wish(boolean in, String name) {}

    /**
     * The group as its leader sees it, by the last change of members that was accepted.
     *
     * @param changed which change of the history that was
     * @param strangers who is connected and of the cluster, but no member
     * @param inReach members heard of lately, the leader among them
     * @param matching up to which change each member has the history
     */
    public record View(
            Identity leader,
            Set<Identity> voting,
            Set<Identity> learning,
            Set<Identity> strangers,
            Set<Identity> inReach,
            Map<Identity, Long> matching,
            long last,
            long changed) {}

    /** What to do next. */
    public sealed interface Step {
        record Learn(Identity who) implements Step {}

        record Promote(Identity who) implements Step {}

        record Remove(Identity who) implements Step {}

        record HandOver(Identity to) implements Step {}

        /** Something must happen by itself first. */
        record Wait(String what) implements Step {}

        record Done() implements Step {}

        record Refused(String why) implements Step {}
    }

    public static Step next(Wish wish, View view) {
        return wish.in() ? add(wish.name(), view) : remove(named(wish.name(), members(view)), view);
    }

    private static Step add(String name, View view) {
        Identity stranger = named(name, view.strangers());
        Identity member = named(name, members(view));
        if (member != null && !view.inReach().contains(member)) {
            // If it came back with another disk, what it was is gone for good; until it shows nothing is known of it.
            return stranger != null
                    ? remove(member, view)
                    : new Step.Wait(name + " is a member and out of reach: start it");
        }
        if (member == null) {
            if (stranger == null) {
                return new Step.Refused(name + " is not connected: start it with the same cluster and members first");
            }
            return members(view).size() >= Identity.MOST
                    ? new Step.Refused("a group has " + Identity.MOST + " members at most")
                    : new Step.Learn(stranger);
        }
        if (view.voting().contains(member)) {
            // Should the leader go now, those left must know who votes, or they could wait for one who is not there.
            boolean heard = view.voting().stream()
                    .allMatch(one -> one.equals(view.leader())
                            || !view.inReach().contains(one)
                            || view.matching().getOrDefault(one, 0L) >= view.changed());
            return heard ? new Step.Done() : new Step.Wait("not all have heard of it yet");
        }
        return view.matching().getOrDefault(member, 0L) + BEHIND_MOST < view.last()
                ? new Step.Wait(name + " is still learning")
                : new Step.Promote(member);
    }

    private static Step remove(Identity member, View view) {
        if (member == null) {
            return new Step.Done();
        }
        if (view.learning().contains(member) && !view.voting().contains(member)) {
            return new Step.Remove(member);
        }
        Set<Identity> left = new TreeSet<>(view.voting());
        left.remove(member);
        if (left.isEmpty()) {
            return new Step.Refused(member.name() + " is the last member");
        }
        long alive = left.stream().filter(view.inReach()::contains).count();
        if (alive <= left.size() / 2) {
            return new Step.Refused("without " + member.name() + " only " + alive + " of " + left.size()
                    + " members would be in reach, which is no majority");
        }
        if (!member.equals(view.leader())) {
            return new Step.Remove(member);
        }
        Identity best = null;
        for (Identity one : left) {
            if (view.inReach().contains(one)
                    && (best == null
                            || view.matching().getOrDefault(one, 0L)
                                    > view.matching().getOrDefault(best, 0L))) {
                best = one;
            }
        }
        return new Step.HandOver(best);
    }

    private static Set<Identity> members(View view) {
        Set<Identity> all = new TreeSet<>(view.voting());
        all.addAll(view.learning());
        return all;
    }

    private static Identity named(String name, Set<Identity> among) {
        return among.stream().filter(one -> one.name().equals(name)).findFirst().orElse(null);
    }
}
