package lupinvalve.statemachine;

import java.io.IOException;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * A member of the group: its name and the disk that holds its log. A member that has lost its disk has another
 * identity, so that it can't vote as if it still had a record of its earlier votes.
 *
 * @param diskId generated when the disk was first used
 */
public record MemberId(String name, String diskId) implements Comparable<MemberId> {
    /** Maximum number of members in a group. */
    public static final int MAX_MEMBERS = 15;
    /** Maximum size of a set that is read. */
    private static final int MAX_SET_SIZE = 4 * MAX_MEMBERS;

    @Override
    public int compareTo(MemberId other) {
        int order = name.compareTo(other.name);
        return order != 0 ? order : diskId.compareTo(other.diskId);
    }

    @Override
    public String toString() {
        return name + "/" + diskId;
    }

    /** Writes a set: its size, then each member's name and disk ID. */
    public static void writeAll(Cbor.Writer out, Collection<MemberId> members) {
        out.number(members.size());
        members.forEach(member -> out.text(member.name).text(member.diskId));
    }

    /** Reads a set that {@link #writeAll} has written. */
    public static Set<MemberId> readAll(Cbor.Reader in) throws IOException {
        Set<MemberId> members = new TreeSet<>();
        for (int remaining = in.count(MAX_SET_SIZE); remaining > 0; remaining--) {
            members.add(new MemberId(in.text(), in.text()));
        }
        return members;
    }
}
