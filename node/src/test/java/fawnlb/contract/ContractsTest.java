package fawnlb.contract;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.Test;

public class ContractsTest {
    private final Contract contract =
            new Contract("t", "secret", "", List.of("a"), List.of("m"), 1, new Budget(1, 1, 1));
    private final Contracts contracts = new Contracts(List.of(contract));

    @Test
    public void contractIsFoundByItsExactKey() {
        assertEquals(Optional.of(contract), contracts.findByKey("secret"));
        assertEquals(Optional.empty(), contracts.findByKey("secreT"));
        assertEquals(Optional.empty(), contracts.findByKey(null));
    }

    @Test
    public void violationNamesClassOrModelOutsideContract() {
        assertEquals(Optional.empty(), contract.violation("a", "m"));
        assertTrue(contract.violation("b", "m").orElseThrow().contains("class 'b'"));
        assertTrue(contract.violation("a", "n").orElseThrow().contains("model 'n'"));
    }
}
