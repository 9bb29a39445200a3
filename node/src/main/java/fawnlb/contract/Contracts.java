package fawnlb.contract;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

/** The contracts of all teams. */
public record Contracts(List<Contract> teams) {
    /**
     * Returns the contract with a key; the key may be null. Every contract's key is compared in full, so that the time
     * taken reveals nothing about the keys.
     */
    public Optional<Contract> findByKey(String key) {
        Contract found = null;
        byte[] given = key == null ? new byte[0] : key.getBytes(StandardCharsets.UTF_8);
        for (Contract contract : teams) {
            if (MessageDigest.isEqual(contract.key().getBytes(StandardCharsets.UTF_8), given)) {
                found = contract;
            }
        }
        return Optional.ofNullable(found);
    }
}
