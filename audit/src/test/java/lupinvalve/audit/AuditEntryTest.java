package lupinvalve.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import lupinvalve.statemachine.DecodingException;
import org.junit.jupiter.api.Test;

class AuditEntryTest {
    private static final AuditEntry ENTRY = new AuditEntry(
            "p-1", 1_000_000, 2, AuditEntry.Event.FENCED, "7-ab", 41, 2_000_000, 20_000, "lease ended", "00ff");
    /** The encoding of {@link #ENTRY} that released versions have stored and sent. */
    private static final byte[] STORED = HexFormat.of()
            .parseHex("63702d311a000f4240020764372d616218291a001e8480194e206b6c6561736520656e6465646430306666");

    @Test
    void entriesKeepTheirEncoding() throws IOException {
        assertEquals(HexFormat.of().formatHex(STORED), HexFormat.of().formatHex(ENTRY.encode()));
        assertEquals(ENTRY, AuditEntry.decode(STORED));
        assertEquals("8bb3ea3b190f01d20f3be758278848c0", ENTRY.digest());
    }

    @Test
    void decodingErrorsIdentifyTheInvalidValue() {
        byte[] damaged = STORED.clone();
        // Replaces the integer of the event by a boolean.
        damaged[10] = (byte) 0xf5;
        String message = assertThrows(DecodingException.class, () -> AuditEntry.decode(damaged))
                .getMessage();
        assertEquals("CBOR value 4, up to byte 11: VALUE_TRUE in place of VALUE_NUMBER_INT", message);
        byte[] longer = Arrays.copyOf(STORED, STORED.length + 1);
        assertEquals(
                "bytes after an audit entry",
                assertThrows(DecodingException.class, () -> AuditEntry.decode(longer))
                        .getMessage());
    }
}
