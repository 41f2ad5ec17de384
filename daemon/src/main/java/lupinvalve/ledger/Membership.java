package lupinvalve.ledger;

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
     * The group as its leader sees it.
     *
     * @param strangers who is connected and of the cluster, but no member
     * @param inReach members heard of lately, the leader among them
     * @param matching up to which change each member has the history
     */
    public record View(Identity leader, Set<Identity> voting, Set<Identity> learning, Set<Identity> strangers,
            Set<Identity> inReach, Map<Identity, Long> matching, long last) {}

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
        if (member != null && stranger != null && !view.inReach().contains(member)) {
            // It came back with another disk: what it was is gone for good.
            return remove(member, view);
        }
        if (member == null) {
            if (stranger == null) {
                return new Step.Refused(name + " is not connected: start it with the same cluster and members first");
            }
            return members(view).size() >= Identity.MOST
                    ? new Step.Refused("a group has " + Identity.MOST + " members at most") : new Step.Learn(stranger);
        }
        if (view.voting().contains(member)) {
            return new Step.Done();
        }
        return view.matching().getOrDefault(member, 0L) + BEHIND_MOST < view.last()
                ? new Step.Wait(name + " is still learning") : new Step.Promote(member);
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
            if (view.inReach().contains(one) && (best == null
                    || view.matching().getOrDefault(one, 0L) > view.matching().getOrDefault(best, 0L))) {
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
