package fawnlb.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

/** All teams' contracts, found by the key that a team sends. */
public record Contracts(List<Contract> teams) {
    /** The contract, or null. Every key is compared whole, so that the time taken tells nothing of them. */
    public Contract findByKey(String key) {
        Contract found = null;
        byte[] given = key == null ? new byte[0] : key.getBytes(StandardCharsets.UTF_8);
        for (Contract contract : teams) {
            if (MessageDigest.isEqual(contract.key().getBytes(StandardCharsets.UTF_8), given)) {
                found = contract;
            }
        }
        return found;
    }
}
