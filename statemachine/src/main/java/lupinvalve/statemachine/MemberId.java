package lupinvalve.statemachine;

import java.io.IOException;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * A member of the group: its name and the disk that holds its log. A member that has lost its disk is another one, so
 * that it can't vote as if it remembered its votes.
 *
 * @param diskId drawn when the disk was first used
 */
public record MemberId(String name, String diskId) implements Comparable<MemberId> {
    /** Members of a group at most. */
    public static final int MAX_MEMBERS = 15;
    /** Bound of a set that is read. */
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

    /** Writes a set: its size, then name and disk of each. */
    public static void writeAll(Cbor.Writer out, Collection<MemberId> all) {
        out.number(all.size());
        all.forEach(one -> out.text(one.name).text(one.diskId));
    }

    /** Reads what {@link #writeAll} has written. */
    public static Set<MemberId> readAll(Cbor.Reader in) throws IOException {
        Set<MemberId> all = new TreeSet<>();
        for (int remaining = in.count(MAX_SET_SIZE); remaining > 0; remaining--) {
            all.add(new MemberId(in.text(), in.text()));
        }
        return all;
    }
}
