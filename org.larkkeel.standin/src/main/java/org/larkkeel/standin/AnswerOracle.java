/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The answers that engines produce, as a pure function of model and prompt.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class AnswerOracle {
  private static final int BYTES_PER_TOKEN = 4;
  private static final int SHORTEST = 48;
  private static final int SPREAD = 400;
  private static final long STEP = 0x9E3779B97F4A7C15L;

  /** Words with several bytes a character and with characters that JSON escapes. */
  private static final String[] WORDS = {
    "precio", "tejido", "niño", "barro", "\"cita\"", "línea\n", "feria", "caña",
    "ülevaade", "tellingud", "koormus", "šahht", "a\\b", "õue", "plaan", "10 €"
  };

  private AnswerOracle() {}

  /**
   * One answer, with the hash of its prompt worked out once.
   *
   * <p>Immutable and safe for use by several threads.
   *
   * @param seed the hash of model and prompt
   * @param length the number of tokens after which the answer ends by itself
   * @since 0.1
   */
  public record Answer(long seed, int length) {

    /**
     * The text of one token.
     *
     * @param index the position, from 0
     * @return the text, never empty
     */
    public String text(int index) {
      long hash = mix(seed + (index + 1) * STEP);
      String word = WORDS[(int) (hash & (WORDS.length - 1))];
      return " " + word + Long.toString((hash >>> 8) & 0xFFF, Character.MAX_RADIX);
    }

    /**
     * The number of tokens that are produced under a limit.
     *
     * @param maxTokens the limit
     * @return the number of tokens
     */
    public int tokens(int maxTokens) {
      return Math.min(maxTokens, length);
    }

    /**
     * The whole text under a limit.
     *
     * @param maxTokens the limit in tokens
     * @return the texts of all tokens, joined
     */
    public String whole(int maxTokens) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < tokens(maxTokens); i++) {
        all.append(text(i));
      }
      return all.toString();
    }
  }

  /**
   * The answer to a prompt.
   *
   * @param model the model's name
   * @param prompt the prompt
   * @return the answer
   */
  public static Answer answer(String model, String prompt) {
    HashCode hash =
        Hashing.sha256()
            .newHasher()
            .putString(model, StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(prompt, StandardCharsets.UTF_8)
            .hash();
    return new Answer(hash.asLong(), naturalLength(prompt));
  }

  /**
   * The text of one token.
   *
   * @param model the model's name
   * @param prompt the prompt
   * @param index the position of the token, from 0
   * @return the text, never empty
   */
  public static String text(String model, String prompt, int index) {
    return answer(model, prompt).text(index);
  }

  /**
   * The whole answer.
   *
   * @param model the model's name
   * @param prompt the prompt
   * @param maxTokens the limit in tokens
   * @return the texts of all tokens, joined
   */
  public static String whole(String model, String prompt, int maxTokens) {
    return answer(model, prompt).whole(maxTokens);
  }

  /**
   * The number of tokens in an answer.
   *
   * @param prompt the prompt
   * @param maxTokens the limit in tokens
   * @return the lesser of the limit and the answer's own length
   */
  public static int tokens(String prompt, int maxTokens) {
    return Math.min(maxTokens, naturalLength(prompt));
  }

  /**
   * The number of tokens in a prompt: one for four bytes, rounded up.
   *
   * @param prompt the prompt
   * @return the number of tokens
   */
  public static int promptTokens(String prompt) {
    int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
    return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
  }

  private static int naturalLength(String prompt) {
    long hash = Hashing.murmur3_128().hashString(prompt, StandardCharsets.UTF_8).asLong();
    return SHORTEST + (int) Long.remainderUnsigned(hash, SPREAD);
  }

  private static long mix(long value) {
    long z = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
