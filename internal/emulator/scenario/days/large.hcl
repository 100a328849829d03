# Full size: 273 gateways, 12 switches, 840 calls per second; the switches of a region restart together.
name    = "large"
length  = "60s"
regions = ["saguenay", "rimouski", "trois-rivieres", "gatineau"]

gateways {
  count = 273
}

pools {
  count      = 12
  setup_ms   = 6.4
  answer_ms  = 2.4
  release_ms = 1.9
  reports    = ["loss", "wait"]
}

rules {
  grace = "500ms"
}

net {
  same  = "6ms"
  cross = "18ms"
}

skill "shift-lookup" {
  share    = 0.74
  target   = "1500ms"
  patience = "9s"
  value    = 1
  late     = 0.25
  hold     = "9s"
}

skill "open-shift-claim" {
  share    = 0.05
  target   = "1s"
  patience = "6s"
  value    = 5
  late     = 0.25
  hold     = "4500ms"
}

skill "availability-set" {
  share    = 0.21
  target   = "1500ms"
  patience = "9s"
  value    = 3
  late     = 0.25
  hold     = "7s"
}

customer "marche-fjord.example" {
  share = 0.46
}

customer "quincaillerie-nord.example" {
  share = 0.31
}

customer "boulangerie-lac.example" {
  share = 0.23
}

load {
  rate = 840
}

trouble "burst" {
  at   = "8s"
  for  = "6s"
  size = 1.5
}

trouble "region" {
  at     = "18s"
  for    = "3s"
  region = "rimouski"
}

trouble "ageing" {
  at   = "34s"
  for  = "10s"
  part = 0.1
  size = 5
}

trouble "mute" {
  at  = "36s"
  for = "10s"
}
