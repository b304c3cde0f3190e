-- Guards against elections caused by a replica whose link comes and goes, and by one that hears
-- nothing but can send.
cluster{voters = 3, standbys = 1, seed = 14}
expect_within(3, function() return leader() end, "a first leader")
run(1)
local old = leader()
local flapping = old == "e1" and "e2" or "e1"
local first_term = term(old)
for _ = 1, 10 do
  isolate(flapping)
  expect_during(1.4, function() return lease(old) end, "the leader keeps its lease")
  heal()
  expect_during(0.7, function() return lease(old) end, "the leader keeps its lease")
end
cut(old, flapping)
expect_during(2.5, function() return lease(old) end, "a deaf replica does not depose the leader")
heal()
run(1)
expect(leader() == old and term(old) == first_term, "the same leader in the same term")
