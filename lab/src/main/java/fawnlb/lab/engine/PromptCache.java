package fawnlb.lab.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Processed prompts by session or shared prefix, evicted in the order of their last use. */
final class PromptCache {
    private final Map<Long, Integer> tokensByKey = new LinkedHashMap<>(16, 0.75f, true);
    private int totalTokens;

    /** Returns how many tokens are cached under the key, and counts as a use of the entry. */
    int cachedTokens(long key) {
        return tokensByKey.getOrDefault(key, 0);
    }

    /** Replaces the entry of the key. */
    void put(long key, int tokens) {
        Integer previous = tokensByKey.put(key, tokens);
        totalTokens += tokens - (previous == null ? 0 : previous);
    }

    /** Evicts the least recently used entries until the rest fits. */
    void evictTo(int maxTokens) {
        var leastRecentlyUsed = tokensByKey.entrySet().iterator();
        while (totalTokens > maxTokens && leastRecentlyUsed.hasNext()) {
            totalTokens -= leastRecentlyUsed.next().getValue();
            leastRecentlyUsed.remove();
        }
    }
}
