package lupinvalve.subscription;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import lupinvalve.statemachine.Cbor;
import lupinvalve.statemachine.ReplicatedState;

/** The difference between two texts: a sequence of parts copied from the old text, each followed by inserted bytes. */
public record DocumentDelta(List<Instruction> instructions) {
    /** Maximum number of instructions; if a delta would need more, the rest of the text is inserted. */
    public static final int INSTRUCTIONS_MAX_COUNT = 4_096;
    /** Maximum size of an instruction on the wire, without its inserted bytes. */
    private static final int INSTRUCTION_OVERHEAD_BYTES = 16;

    /**
     * Copies a part of the old text, then inserts bytes.
     *
     * @param copyOffset offset of the part in the old text
     * @param copyLength of the part; 0 for none
     * @param inserted bytes that follow the part in the new text
     */
    public record Instruction(int copyOffset, int copyLength, byte[] inserted) {}

    /** Takes an immutable copy of the list. */
    public DocumentDelta {
        instructions = List.copyOf(instructions);
    }

    /** Computes the delta from one text to another. */
    public static DocumentDelta between(byte[] before, byte[] after) {
        BlockIndex index = new BlockIndex(before);
        List<Instruction> instructions = new ArrayList<>();
        BlockIndex.Match last = new BlockIndex.Match(0, 0, 0);
        while (last.targetEnd() < after.length && instructions.size() < INSTRUCTIONS_MAX_COUNT - 1) {
            BlockIndex.Match next = index.next(after, last.targetEnd(), last.targetEnd(), last.sourceEnd());
            if (next == null) {
                break;
            }
            instructions.add(instruction(last, after, next.targetOffset()));
            last = next;
        }
        instructions.add(instruction(last, after, after.length));
        return new DocumentDelta(instructions);
    }

    private static Instruction instruction(BlockIndex.Match copied, byte[] after, int insertedEnd) {
        byte[] inserted = Arrays.copyOfRange(after, copied.targetEnd(), insertedEnd);
        return new Instruction(copied.sourceOffset(), copied.length(), inserted);
    }

    /**
     * Applies this delta to the old text; returns the new text.
     *
     * @throws IOException if this delta does not fit the old text, or the new text would be too long
     */
    public byte[] apply(byte[] before) throws IOException {
        ByteArrayOutputStream after = new ByteArrayOutputStream(before.length);
        for (Instruction instruction : instructions) {
            int offset = instruction.copyOffset();
            int length = instruction.copyLength();
            if (offset < 0 || length < 0 || (long) offset + length > before.length) {
                throw new IOException("delta copies " + length + " bytes from offset " + offset + " of a document of "
                        + before.length + " bytes");
            }
            if ((long) after.size() + length + instruction.inserted().length > ReplicatedState.MAX_DOCUMENT_BYTES) {
                throw new IOException(
                        "delta produces a document of more than " + ReplicatedState.MAX_DOCUMENT_BYTES + " bytes");
            }
            after.write(before, offset, length);
            after.write(instruction.inserted());
        }
        return after.toByteArray();
    }

    /** Estimated size on the wire, in bytes. */
    public int sizeBytes() {
        int size = 0;
        for (Instruction instruction : instructions) {
            size += INSTRUCTION_OVERHEAD_BYTES + instruction.inserted().length;
        }
        return size;
    }

    void write(Cbor.Writer out) {
        out.number(instructions.size());
        for (Instruction instruction : instructions) {
            out.number(instruction.copyOffset())
                    .number(instruction.copyLength())
                    .bytes(instruction.inserted());
        }
    }

    static DocumentDelta read(Cbor.Reader in) throws IOException {
        List<Instruction> instructions = new ArrayList<>();
        for (int count = in.count(INSTRUCTIONS_MAX_COUNT); count > 0; count--) {
            int copyOffset = in.count(Integer.MAX_VALUE);
            int copyLength = in.count(Integer.MAX_VALUE);
            instructions.add(new Instruction(copyOffset, copyLength, in.bytes()));
        }
        return new DocumentDelta(instructions);
    }
}
