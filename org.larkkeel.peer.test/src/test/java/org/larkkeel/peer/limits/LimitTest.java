/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.peer.membership.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link LimitOwner} and {@link LimitHolder} in virtual time. */
public class LimitTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long FLUSH = 20 * MILLI;
  private static final int SECONDS = 30;

  /** One owner and its holders in virtual time; counts the requests that all nodes admit. */
  static final class Sim {
    final List<LimitHolder> holders = new ArrayList<>();
    final LimitOwner owner;
    final Random random = new Random(17);
    double lossProbability;
    long admitted;
    long admittedTokens;
    long refused;
    long messages;
    long now;

    Sim(int nodes, RateLimit limit) {
      owner = new LimitOwner(limit, 0);
      for (int i = 0; i < nodes; i++) {
        holders.add(new LimitHolder("clause-team", 0));
      }
    }

    /** Sends requests to random nodes at a total rate, each with the given prompt tokens. */
    void run(int seconds, int perSecond, long tokens) {
      long id = 0;
      double dueRequests = 0;
      for (long end = now + seconds * 1_000L * MILLI; now < end; now += MILLI) {
        for (dueRequests += perSecond / 1_000.0; dueRequests >= 1; dueRequests--) {
          LimitHolder holder = holders.get(random.nextInt(holders.size()));
          count(holder.acquire(now, id++, tokens, now + 500 * MILLI), tokens);
        }
        if (now % FLUSH == 0) {
          for (int i = 0; i < holders.size(); i++) {
            flush(i, tokens);
          }
        }
      }
    }

    private void flush(int node, long tokens) {
      LimitHolder holder = holders.get(node);
      count(holder.tick(now), tokens);
      Optional<LimitRequest> ask = holder.nextMessage(now, FLUSH);
      if (ask.isEmpty()) {
        return;
      }
      messages++;
      NodeId id = new NodeId(new HostName("host-" + node), new Incarnation(1));
      if (random.nextDouble() < lossProbability) {
        holder.messageLost();
        return;
      }
      LimitGrant grant = owner.grant(now, id, ask.get());
      if (random.nextDouble() < lossProbability) {
        holder.messageLost();
        return;
      }
      count(holder.onGrant(now, grant), tokens);
    }

    private void count(List<LimitHolder.Outcome> outcomes, long tokens) {
      for (LimitHolder.Outcome outcome : outcomes) {
        if (outcome.admitted()) {
          admitted++;
          admittedTokens += tokens;
        } else {
          refused++;
        }
      }
    }
  }

  /** Tests of the admitted rate over all nodes. */
  public static class Accuracy {
    /** The number of nodes and the probability that a message is lost. */
    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{1, 0.0}, {8, 0.0}, {8, 0.2}, {330, 0.0}, {330, 0.2}};
    }

    @Test(dataProvider = "sizes")
    public void requestsStayWithinLimitAndUseIt(int nodes, double loss) {
      Sim sim = new Sim(nodes, new RateLimit(100, 1_000_000));
      sim.lossProbability = loss;
      sim.run(SECONDS, 300, 10);
      long limit = 100L * SECONDS;
      assertTrue(sim.admitted <= limit + 100, "admitted: " + sim.admitted);
      assertTrue(sim.admitted >= limit * 95 / 100, "admitted: " + sim.admitted);
    }

    @Test(dataProvider = "sizes")
    public void promptTokensStayWithinLimitAndUseIt(int nodes, double loss) {
      Sim sim = new Sim(nodes, new RateLimit(10_000, 20_000));
      sim.lossProbability = loss;
      sim.run(SECONDS, 100, 500);
      long limit = 20_000L * SECONDS;
      assertTrue(sim.admittedTokens <= limit + 20_000, "tokens: " + sim.admittedTokens);
      assertTrue(sim.admittedTokens >= limit * 90 / 100, "tokens: " + sim.admittedTokens);
    }

    @Test(dataProvider = "sizes")
    public void demandBelowLimitIsNotRefused(int nodes, double loss) {
      Sim sim = new Sim(nodes, new RateLimit(100, 1_000_000));
      sim.lossProbability = loss;
      sim.run(SECONDS, 60, 10);
      assertTrue(sim.refused <= 60 * SECONDS / 100, "refused: " + sim.refused);
    }
  }

  /** Tests of the number of messages, of idempotence and of single grants. */
  public static class Messages {
    @Test
    public void inactiveWorkspaceSendsNoMessages() {
      Sim sim = new Sim(330, new RateLimit(100, 1_000_000));
      sim.run(5, 60, 10);
      sim.run(5, 0, 10);
      long before = sim.messages;
      sim.run(10, 0, 10);
      assertEquals(sim.messages, before);
      sim.holders.forEach(holder -> assertTrue(holder.isIdle()));
    }

    @Test
    public void retransmittedRequestGetsSameGrant() {
      LimitOwner owner = new LimitOwner(new RateLimit(10, 10), 0);
      NodeId holder = new NodeId(new HostName("host-1"), new Incarnation(1));
      LimitRequest ask = new LimitRequest("w", 1, 4, 4, 0, 0, 0);
      LimitGrant first = owner.grant(0, holder, ask);
      assertEquals(owner.grant(0, holder, ask), first);
      LimitGrant next = owner.grant(0, holder, new LimitRequest("w", 2, 100, 0, 0, 0, 0));
      assertEquals(next.requests(), 3, "the retransmitted message took units twice");
    }

    @Test
    public void manyRequestsAtOnceGetNoMoreThanTheLimit() {
      LimitOwner owner = new LimitOwner(new RateLimit(2, 1_000), 0);
      NodeId holder = new NodeId(new HostName("host-1"), new Incarnation(1));
      LimitGrant grant = owner.grant(0, holder, new LimitRequest("w", 1, 10, 2_000, 0, 0, 200));
      assertTrue(grant.requests() <= 2, "requests: " + grant.requests());
      assertTrue(grant.tokens() <= 1_000, "tokens: " + grant.tokens());
    }

    @Test
    public void promptLargerThanOneSecondIsAdmittedOnce() {
      Sim sim = new Sim(1, new RateLimit(10, 100));
      sim.count(sim.holders.get(0).acquire(0, 1, 250, 500 * MILLI), 250);
      sim.flush(0, 250);
      assertEquals(sim.admitted, 1);
      sim.count(sim.holders.get(0).acquire(0, 2, 250, 500 * MILLI), 250);
      sim.flush(0, 250);
      assertEquals(sim.admitted, 1);
      assertFalse(sim.refused == 0);
    }
  }
}
